Feature: Endpoint drivers and platform clients

  # Guards against "not run" without proof, and against "unknown" where nothing was sent.
  Scenario: The driver of plain services says "not run" only with proof
    Given a stand-in "service" of kind "plain-service" with options ""
    Then a booking to a port that refuses connections ends with "endpoint.unreachable" and executed "no"
    And a booking that is cancelled before it is sent ends with "endpoint.unreachable" and executed "no"
    And a booking that the service declares as refused ends with "endpoint.refused" and executed "no"
    And a booking that the service refuses without a declaration is answered with status 503
    And a booking whose reply is lost ends with "endpoint.closed" and executed "unknown"
    And a booking that is not answered in time ends with "endpoint.silent" and executed "unknown"
    And no booking was run more than once

  # Guards against a booking that becomes unknown because the endpoint closes an idle connection at that moment.
  Scenario: A booking does not depend on the idle timeout of a pooled connection
    Given a service that closes each connection when a second request arrives on it
    Then 20 bookings in a row are all answered

  # Guards against another caller's answer being passed on.
  Scenario Outline: A reply of another request is discarded by the driver of <endpoints>
    Given <endpoints> that answer with the id of another request
    Then the reply is discarded with "endpoint.invalid"

    Examples:
      | endpoints      |
      | plain services |
      | model engines  |

  # Guards against streams that wait for each other's connection.
  Scenario: Streams of one engine are not limited by a pool
    Given a stand-in "engine" of kind "model-engine" with options "--batch-slots 400 --prefill-tokens-per-second 0"
    When 300 streams are opened at once and all are stalled after their first token
    Then all 300 streams are open at the same time and complete after the stall

  # Guards against a stream that hangs on a black-holed connection, and against lost or repeated tokens after it.
  Scenario: A silent stream is continued on a new connection
    Given a stand-in "engine" of kind "model-engine" with options "--token-interval-ms 10"
    And a stand-in "proxy" of kind "fault-proxy" with options ""
    And a route "route" through "proxy" to "engine"
    When a stream of 200 tokens through "route" is black-holed after 20 tokens
    Then it ends with "endpoint.silent" and the rest can be read on a new connection
    And the whole answer has each token once and in order

  # Guards against pooled connections that fail one after the other once all of them are black-holed.
  Scenario: After one silent call the next one uses a new connection
    Given a stand-in "store" of kind "key-value" with options ""
    And a stand-in "engine" of kind "model-engine" with options ""
    And a stand-in "proxy" of kind "fault-proxy" with options ""
    And 8 connections to "store" and 8 to "engine" are pooled through "proxy" and black-holed
    Then the first call to each ends without an answer
    And the second call to each is answered

  # Guards against an answer that is buffered without limit for a slow reader.
  Scenario: A slow reader slows the engine down
    Given a stand-in "engine" of kind "model-engine" with options "--token-interval-ms 0"
    When a reader takes 10 tokens of an answer of 200000 tokens and pauses
    Then the engine stops producing before the answer is complete
    And the reader gets the whole answer when it goes on

  # Guards against a generation that goes on computing after its reader left.
  Scenario: A cancelled generation frees its batch slot
    Given a stand-in "engine" of kind "model-engine" with options "--batch-slots 1 --token-interval-ms 50"
    When a stream of 100000 tokens is cancelled after its first token
    Then another request is answered at once and the cancelled one is unknown

  # Guards against crashes, hangs and accepted nonsense when a service answers with anything at all.
  Scenario Outline: Clients survive <runs> arbitrary replies of the <service>
    Given a server that answers with arbitrary bytes
    Then <runs> calls of each method of the "<service>" client end with a checked value or an issue

    Examples:
      | service      | runs |
      | key-value    | 120  |
      | cloud        | 120  |
      | host-list    | 120  |
      | weight-store | 120  |
      | engine       | 120  |
      | service      | 120  |

  # Guards against tokens of wrong offsets, foreign requests or broken events being passed on.
  Scenario: The engine's stream reader passes on only its own tokens, once and in order
    Then 500 arbitrary event streams give consecutive tokens of the request and one end

  # Guards against splitting of characters and events at the borders of network reads.
  Scenario: A stream that is split anywhere gives the same tokens
    Then 200 answers split at arbitrary bytes are read unchanged

  # Guards against one node using up the key-value service's rate.
  Scenario: The call budget limits and counts calls by purpose
    Given a call budget of 4 reads and 2 writes per second under a virtual clock
    When 6 writes for "shards" and 3 reads for "configuration" are taken at once
    Then 3 writes may be sent within 500 ms and 3 are refused
    And the budget reports 3 writes and 3 refusals for "shards" and 3 reads for "configuration"
    And after 1000 ms 2 further writes may be sent at once
    And a client with a used-up budget sends nothing and ends with "keyValue.throttled"
