Feature: Spoiled answers of endpoints

  Background:
    Given an ingress with a store stand-in and two engines of each service

  # Guards against a stream that loses its head and its first event when the head of the first engine can't be forwarded.
  Scenario: A stream whose first engine spoils a header is begun whole by another engine
    Given engines of which the first answers with a control byte in a header
    When a caller sends a "stream" request with the body "prompt"
    Then the caller gets the events 1 to 5 once each in order and a complete answer
    And the caller gets 200 with the engine's signature

  # Guards against heads that no writer accepts: the error of one answer ended the process with all its requests.
  Scenario Outline: A plain answer with <bytes> is malformed and only its request fails
    Given engines of which the first answers with <bytes>
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 502 and the request ran once
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 200 with the engine's signature

    Examples:
      | bytes                        |
      | a control byte in a header   |
      | a NUL in a header            |
      | a DEL in a header            |
      | a lone CR in a header        |
      | a space in a header's name   |
      | a header without a name      |
      | a line without a colon       |
      | a folded header              |
      | status 099                   |
      | status 600                   |
      | a status of two digits       |
      | a control byte in the reason |

  # Guards against a decoder that drops the highest bit, which turns letters of other languages into control bytes.
  Scenario: Text in UTF-8 in a header reaches the caller unchanged
    Given engines of which the first answers with a dash in UTF-8 in a header
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 200 with the engine's signature
    And the caller gets the header "x-spoiled" with the text "a–b" in UTF-8

  # Guards against callers that wait for the time limit although the first bytes show that no answer will follow.
  Scenario: Bytes that can't begin an answer fail the attempt at once
    Given engines of which the first answers with text that is no HTTP and stays open
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 502 and the request ran once

  # Guards against the end of an interim head that is taken for the end of the answer, which ended the process for want of a status.
  Scenario Outline: <heads> before an answer are passed over
    Given engines of which the first answers with <heads> before the answer
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 200 with the body "done" and the engine's signature
    And the caller gets 200 and the request ran once

    Examples:
      | heads                     |
      | a 102                     |
      | a 100 in its own segment  |
      | a 103 with headers        |
      | twenty interim heads      |

  Scenario: A stream behind an interim head is forwarded whole
    Given engines of which the first answers with a 103 with headers before the answer
    When a caller sends a "stream" request with the body "prompt"
    Then the caller gets the events 1 to 5 once each in order and a complete answer
    And the caller gets 200 with the engine's signature

  # Guards against a caller that waits for the body of an answer that can't have one.
  Scenario: A 304 that states a length is complete with its head
    Given engines of which the first answers with a 304 that states a length
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 304 with the body "" and the engine's signature

  # Guards against an endpoint that keeps a request waiting, or changes the protocol, with heads that are no answer.
  Scenario Outline: <heads> are no answer
    Given engines of which the first answers with <heads>
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 502 and the request ran once

    Examples:
      | heads                       |
      | a 101                       |
      | a hundred interim heads     |
      | a 102 and an orderly close  |

  Scenario: 3000 arbitrary heads are rejected or can be written to a caller
    Then of 3000 arbitrary heads each one that is accepted can be written to a caller
