Feature: Peer network

  Scenario: Replies that arrive out of order are matched to their requests
    Given two connected peers "alder" and "birch"
    When "alder" sends 20 calls whose replies come in reverse order
    Then each call got its own reply

  Scenario: Cancelling a stream aborts its handler
    Given two connected peers "alder" and "birch"
    When "alder" reads 3 chunks of an endless stream and stops
    Then the handler of the stream is aborted

  # Guards against a slow reader that makes its host queue a reply without bound.
  Scenario: A stream is sent ahead of its reader by no more than its window
    Given two connected peers "alder" and "birch"
    When "alder" reads the first of 400 chunks of 1000 bytes within a window of 20000 bytes and pauses
    Then no more than 24 chunks are sent until it reads on, and all arrive in order

  Scenario: A failed call is reported as unsent only if none of its bytes were sent
    Given two connected peers "alder" and "birch"
    Then a call to a peer without address fails with "peer.unreachable" and is unsent
    And a call whose request fails its schema fails with "peer.invalid" and is unsent
    And a call larger than a frame fails with "peer.invalid" and is unsent
    And a call without a handler fails with "peer.refused" and is sent
    And a call that only the peer's schema refuses fails with "peer.invalid" and is sent
    And a call whose handler throws fails with "peer.refused" and is sent
    And a call whose reply fails its schema fails with "peer.invalid" and is sent
    And a call whose reply is late fails with "peer.timeout" and is sent
    And a call whose peer stops fails with "peer.closed" and is sent
    And a call to the stopped peer fails with "peer.unreachable" and is unsent

  Scenario: Cluster keys can be rotated, and a host without an accepted key is refused
    Given a peer "alder" that accepts the keys "old-old-old-old-old,new-new-new-new-new"
    Then a host with the key "old-old-old-old-old" can call "alder"
    And a host with the key "new-new-new-new-new" can call "alder"
    And a host with the key "bad-bad-bad-bad-bad" can't call "alder"

  Scenario: A recorded handshake can't be replayed
    Given two connected peers "alder" and "birch"
    When everything that "alder" sent to "birch" is sent again on a new connection
    Then "birch" closes the connection and runs no call

  Scenario: Malformed and oversized frames neither stop a peer nor reach a handler
    Given two connected peers "alder" and "birch"
    When 200 connections send random bytes to "birch"
    And a connection announces a frame of 900000000 bytes
    Then "birch" closes the connection and runs no call
    And "alder" can still call "birch"

  Scenario: The frame reader never throws and works with any chunk boundaries
    Then frames split at random positions are read completely
    And reading random bytes never throws

  Scenario: A black-holed connection is replaced while the peer accepts new ones
    Given two peers "alder" and "birch" connected through a forwarder
    When the forwarder black-holes the open connection
    Then calls succeed again on a new connection without a restart
    And the call that was in progress fails as closed and sent

  Scenario: A call after the connection was black-holed while idle uses a new connection
    Given two peers "alder" and "birch" connected through a forwarder
    When the connection is black-holed while no call is in progress and stays quiet
    Then the next call succeeds

  # Guards against a peer that is late with everything and gets one handshake more for each reply that it owes.
  Scenario Outline: Calls to a late peer are answered on the connection that is open
    Given two peers "alder" and "birch" connected through a forwarder
    When the forwarder passes everything on <late> ms late
    Then 16 calls <apart> ms apart are answered within 1500 ms each, over at most 2 connections

    Examples:
      | late | apart |
      | 400  | 300   |
      | 450  | 800   |
      | 550  | 900   |
