Feature: Answers of endpoints at the ingress

  Background:
    Given an ingress with a store stand-in and two engines of each service

  Scenario: A request reaches an engine unchanged and its answer comes back whole
    When a caller sends a "nonIdempotent" request with the body "pallet of lime"
    Then the caller gets 200 with the body "done" and the engine's signature
    And one engine got the method, path, query, body and request id of the caller
    And the engine got the customer's name, the time left and its own id, but no key

  # Guards against an engine's second answer being taken for that of the next request on the connection.
  Scenario Outline: Extra bytes never belong to another request
    Given engines that answer with <fault>
    When a caller sends 12 "idempotent" requests one after the other
    Then every success is the whole answer to its own request

    Examples:
      | fault                                  |
      | a second answer behind the first       |
      | a late second answer before the next   |
      | garbage behind the answer              |
      | a late answer while idle               |

  # Guards against a damaged answer that looks complete.
  Scenario Outline: A damaged answer is never passed on as a success
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

  Scenario: An answer without a length that ends in order is whole
    Given engines that answer with an unframed body and an orderly end
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 200 with the body "done" and the engine's signature

  # Guards against a booking or payment that runs twice.
  Scenario: A request that must not be repeated goes to a second engine only with proof
    Given engines of which the first refuses without having run the request
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 200 and the request ran once

  Scenario: A request that must not be repeated survives an engine that can't be reached
    Given engines of which one does not accept connections
    When a caller sends 6 "nonIdempotent" requests one after the other
    Then every request is answered with 200 and ran once

  Scenario: An idempotent request is tried once more after an error
    Given engines of which the first answers 500
    When a caller sends a "idempotent" request with the body ""
    Then the caller gets 200 and the request ran twice

  Scenario: A refusal by all engines tells the caller that nothing ran
    Given engines that refuse without having run the request
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 503 with a time to come back, and no request ran

  # Guards against a promise "not run" that the engine did not give.
  Scenario: A 503 of an engine without the statement that it did not run is not passed on
    Given engines that answer with a 503 that promises nothing
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 502 and the request ran once

  Scenario: A caller has its final answer at the route's time limit
    Given engines that never answer
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 504 after the route's time limit and before another half second

  # Guards against engines that work for callers who have left.
  Scenario: An engine's connection is closed when the caller leaves
    Given engines that never answer
    When a caller sends a "nonIdempotent" request and leaves
    Then the engine's connection is closed within half a second

  # Guards against working for callers that have left: a host that lags behind reads their requests late.
  Scenario: A request whose caller has left before it was read is not passed on
    When a caller sends a "nonIdempotent" request and leaves while the host is busy for 100 ms
    Then no engine got a request

  # Guards against pieces of two runs being joined, doubled or lost.
  Scenario: A resumable stream goes on at another engine within one answer
    Given engines of which the first breaks a stream off within its third event
    When a caller sends a "stream" request with the body "prompt"
    Then the caller gets the events 1 to 5 once each in order and a complete answer
    And the second engine was asked to go on behind event 2

  # Guards against spending a small host's processor on a read and a write for each event, and against events held for too long.
  Scenario: Events behind the first one are passed on several at a time, and soon
    Given engines that send 30 events 10 ms apart
    When a caller sends a "stream" request with the body "prompt"
    Then the caller gets the events 1 to 30 once each in order and a complete answer
    And the first part arrives within 60 ms and the parts are at most 150 ms apart
    And there are at most 12 parts

  Scenario: A stream that can't be resumed is broken off visibly
    Given engines of which the first breaks a stream off within its third event
    When a caller sends a "plainStream" request with the body "prompt"
    Then the caller gets an incomplete answer and the request ran once

  Scenario: An unknown key, an unknown path and a missing id are refused before anything runs
    Then a request with an unknown key gets 401, an unknown path 404 and a missing id 400
    And no engine got a request

  # Guards against refusing proper requests before the configuration is known.
  Scenario: A host without a configuration refuses with 503
    Given an ingress whose store has no configuration
    When a caller sends a "idempotent" request with the body ""
    Then the caller gets 503 with a time to come back, and no request ran
