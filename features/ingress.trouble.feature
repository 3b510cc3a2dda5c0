Feature: Ingress behaviour with faulty servers and callers

  Background:
    Given an ingress with a store stand-in and two engines of each service

  # Guards against a late duplicate of a refusal on a reused connection: the next request would be sent to another engine although
  # this one executes it.
  Scenario: A late duplicate of a refusal without a request id is not taken for the response to the next request
    Given engines whose refusal of one request is duplicated before the response to the next
    When a caller sends 4 "nonIdempotent" requests one after the other
    Then no request ran twice and none that ran was reported as not executed

  # Guards against a healthy stream that is cut off during a pause while the retry budget is empty.
  Scenario: A slow stream continues when the retry budget is empty
    Given an ingress whose retry budget is used up
    And engines that send 4 events 1100 ms apart
    When a caller sends a "slowStream" request with the body "order"
    Then the caller gets the events 1 to 4 once each in order and a complete answer

  # Guards against a stalled engine whose occasional comments or partial events pass for progress.
  Scenario Outline: A stalled stream that sends only <bytes> continues on another engine
    Given engines of which the first sends <bytes> every 200 ms after its second event
    When a caller sends a "slowStream" request with the body "order"
    Then the caller gets the events 1 to 5 once each in order and a complete answer

    Examples:
      | bytes             |
      | comments          |
      | parts of an event |

  # Guards against memory exhaustion by a faulty server, and against callers that wait for an endless response.
  Scenario Outline: An engine that sends <bytes> without end is disconnected and the caller learns that the request may have run
    Given engines that send <bytes> without end
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 502 and the request ran once
    And the engine's connection is closed within half a second
    And the host's memory has grown by less than 64 MB

    Examples:
      | bytes             |
      | a head line       |
      | head lines        |
      | a body            |
      | a chunk extension |
      | trailers          |

  # Guards against callers that never get a response because their body never ends.
  Scenario: A caller that sends a body without end gets 413 and is disconnected
    When a caller sends a "nonIdempotent" request whose body never ends
    Then it gets 413 within 1000 ms and its connection is closed

  # Guards against requests that are accepted during shutdown and then cut off when the process exits.
  Scenario: A stopping host rejects requests that could outlast it
    Given engines that answer after 1600 ms
    When a caller sends a "slowLookup" request with the body "query"
    And the host is asked to stop and "slowLookup" requests are sent every 50 ms until it refuses
    Then every request that was not refused is answered before the host has stopped

  # Guards against a host that takes another call's response for its permission to act.
  Scenario: A late duplicate of a store's response does not make a rejected commit look accepted
    Given a store that sends each response again with the next call on the same connection
    When a commit is accepted and a second one conflicts with it
    Then the second commit is not accepted
    And a lease that has ended is not renewed, despite duplicates of earlier responses

  # Guards against memory exhaustion by a faulty store.
  Scenario: A read from a store that sends bodies without end fails
    Given a store that sends bodies without end
    When a host lists its keys
    Then the read fails within 2000 ms
    And the host's memory has grown by less than 64 MB

  # Guards against concurrent orders of two holders around a handover: a holder releases while its order is in progress, or its order's
  # connection opens after its lease has expired.
  Scenario: Duties are handed over only when no call of the previous holder can still arrive
    Given a duty holder whose order takes 600 ms
    When it releases the duties while the order is in progress
    Then the duties become free only after the order has ended
    And an order that is started late in the lease is abandoned before the lease expires

  # Guards against callers that wait for the end of a stream that nothing continues.
  Scenario Outline: A stream that breaks off is cut when the next engine answers with <status>
    Given engines of which the first breaks off within the third event of a stream and the second answers <status>
    When a caller sends a "stream" request with the body "order"
    Then the caller gets whole events only, no complete answer, and nothing after them within 2500 ms

    Examples:
      | status |
      | 500    |
      | 404    |

  # Guards against a stream that breaks off without a length and looks complete.
  Scenario Outline: A stream that ends with its channel <where> is not complete
    Given engines whose streams have neither length nor chunks and end <where>
    When a caller sends a "plainStream" request with the body "order"
    Then the caller gets no complete answer

    Examples:
      | where               |
      | within an event     |
      | without any event   |

  # Guards against a connection that is handed back while the last events are still to be forwarded: a slow caller then paused it, and
  # the next request on it got its answer at its time limit only.
  Scenario: The request after a stream with a large end is answered on the same connection
    Given engines of which one does not accept connections
    And engines whose streams end with an event of 50000 bytes
    When a caller sends 3 "stream" requests one after the other
    Then every request is answered with 200 and ran once
    And the engines accepted 1 connection

  # Guards against memory that pieces of an answer take beyond their bytes, and against one engine that takes the memory of all answers.
  Scenario Outline: 24 callers get <bytes> without end from one engine while the other one serves
    Given two engines of which the first sends <bytes> without end
    When 24 callers send a "<route>" request to it while others send "idempotent" requests for 2000 ms
    Then the requests of the others are answered with 200
    And the host's memory has grown by less than 128 MB

    Examples:
      | bytes                        | route       |
      | a body                       | slowOrder   |
      | chunks of one byte           | slowOrder   |
      | interim heads                | slowOrder   |
      | events in chunks of one byte | slowStream  |
      | pieces of one event          | slowStream  |
      | comments                     | slowStream  |
      | the same event               | slowStream  |
