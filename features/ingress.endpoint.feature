Feature: Endpoint responses at the ingress

  Background:
    Given an ingress with a store stand-in and two engines of each service

  Scenario: A request reaches an engine unchanged and its response is returned complete
    When a caller sends a "nonIdempotent" request with the body "pallet of lime"
    Then the caller gets 200 with the body "done" and the engine's signature
    And one engine got the method, path, query, body and request id of the caller
    And the engine got the customer's name, the time left and its own id, but no key

  # Guards against an engine's duplicate response being taken for the response to the next request on the connection.
  Scenario Outline: Surplus bytes on a connection are never taken for the response to another request
    Given engines that answer with <fault>
    When a caller sends 12 "idempotent" requests one after the other
    Then every success is the whole answer to its own request

    Examples:
      | fault                                  |
      | a second answer behind the first       |
      | a late second answer before the next   |
      | garbage behind the answer              |
      | a late answer while idle               |

  # Guards against a damaged response that looks complete.
  Scenario Outline: A damaged response is never forwarded as a success
    Given engines that answer with <fault>
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 502 and the request ran once

    Examples:
      | fault                        |
      | a body that is cut off       |
      | a malformed chunk            |
      | a success without signature  |
      | no answer and a reset        |
      | bytes that are no answer     |
      | an unframed body and a reset |

  Scenario: A response without a length is complete when the connection ends in order
    Given engines that answer with an unframed body and an orderly close
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 200 with the body "done" and the engine's signature

  # Guards against a booking or payment that is executed twice.
  Scenario: A non-idempotent request is sent to a second engine only if the first states that it did not run it
    Given engines of which the first refuses without having run the request
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 200 and the request ran once

  Scenario: A non-idempotent request is served although one engine can't be reached
    Given engines of which one does not accept connections
    When a caller sends 6 "nonIdempotent" requests one after the other
    Then every request is answered with 200 and ran once

  Scenario: An idempotent request is retried once after an error
    Given engines of which the first answers 500
    When a caller sends a "idempotent" request with the body ""
    Then the caller gets 200 and the request ran twice

  Scenario: The caller learns that a request did not run when all engines refuse it
    Given engines that refuse without having run the request
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 503 with a Retry-After header, and no request ran

  # Guards against telling the caller "not executed" without a statement of the engine.
  Scenario: An engine's 503 without the not-executed header is not forwarded
    Given engines that answer with a 503 without the not-executed header
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 502 and the request ran once

  Scenario: A caller gets its final response at the route's time limit
    Given engines that never answer
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 504 within half a second after the route's time limit

  # Guards against engines that work for callers that have disconnected.
  Scenario: An engine's connection is closed when the caller disconnects
    Given engines that never answer
    When a caller sends a "nonIdempotent" request and disconnects
    Then the engine's connection is closed within half a second

  # Guards against work for callers that have disconnected: an overloaded host reads their requests late.
  Scenario: A request whose caller disconnected before it was read is not forwarded
    When a caller sends a "nonIdempotent" request and disconnects while the host is busy for 100 ms
    Then no engine got a request

  # Guards against joined, duplicated or lost parts when two executions are combined into one stream.
  Scenario: A resumable stream continues on another engine within the same response
    Given engines of which the first breaks a stream off in the middle of its third event
    When a caller sends a "stream" request with the body "prompt"
    Then the caller gets the events 1 to 5 once each in order and a complete answer
    And the second engine was asked to resume after event 2

  # Guards against a read and a write for each event, which overload a small host, and against events that are delayed too long.
  Scenario: Events after the first one are forwarded in batches with a short delay
    Given engines that send 30 events 10 ms apart
    When a caller sends a "stream" request with the body "prompt"
    Then the caller gets the events 1 to 30 once each in order and a complete answer
    And the first part arrives within 60 ms and the parts are at most 150 ms apart
    And there are at most 12 parts

  Scenario: A stream that can't be resumed ends as an incomplete response
    Given engines of which the first breaks a stream off in the middle of its third event
    When a caller sends a "plainStream" request with the body "prompt"
    Then the caller gets an incomplete answer and the request ran once

  Scenario: An unknown key, an unknown path and a missing id are rejected before anything runs
    Then a request with an unknown key gets 401, an unknown path 404 and a missing id 400
    And no engine got a request

  # Guards against a final rejection of valid requests before the configuration is loaded.
  Scenario: A host without a configuration rejects requests with 503
    Given an ingress whose store has no configuration
    When a caller sends a "idempotent" request with the body ""
    Then the caller gets 503 with a Retry-After header, and no request ran

  # Guards against a host that refuses all requests of a service for good, since nothing shows that it has become faster.
  Scenario: A host takes requests again after the answers of a service were slow
    Given engines that answer 200 after 1100 ms
    And a caller has had 1 "nonIdempotent" responses
    And engines that answer 200 after 10 ms
    When a caller sends a "nonIdempotent" request 2000 ms later
    Then it is answered with 200

  # Guards against closing connections that other requests could use, which may be their only way while new ones are refused.
  Scenario: An order leaves connections open that were idle for too long for it
    Given engines that keep idle connections for 10 s
    And callers have had 6 "idempotent" responses at once
    When a caller sends a "nonIdempotent" request 3200 ms later
    Then it is answered with 200
    And the engines have 7 open connections

