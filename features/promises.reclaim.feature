@promises
Feature: Requests in progress survive planned stops (P1, P6)

  Scenario: Answers and bookings without faults
    Guards against a fleet that serves requests only through failure recovery.
    Given a fleet with 3 engines and seed 1101
    When a booking is sent every 50 ms
    And 3 customers ask 4 questions each with answers of 100 tokens
    Then every caller gets the whole answer to its own question
    And no answer was interrupted
    And every booking ran once and has its answer

  Scenario: A failure domain is reclaimed with notice
    Guards against lost or interrupted requests when both entry hosts and the engine of a failure domain are reclaimed.
    Given a fleet with 3 engines and seed 1102
    When a booking is sent every 50 ms
    And 3 customers ask 4 questions each with answers of 300 tokens
    And all reclaimable hosts of "st-jerome" are reclaimed with 5000 ms of notice
    Then every caller gets the whole answer to its own question
    And every booking ran once and has its answer

  Scenario: The accepting host is reclaimed with a notice shorter than its answers
    Guards against an answer that is lost with its host instead of being handed over.
    Given a fleet with 3 engines and seed 1103
    When a booking is sent every 50 ms
    And 8 questions with answers of 400 tokens are sent to one host
    And that host is reclaimed with 3000 ms of notice
    Then every caller gets the whole answer to its own question
    And every booking ran once and has its answer

  Scenario: The host of an engine is reclaimed
    Guards against answers that are lost with their engine.
    Given a fleet with 3 engines and seed 1104
    When 3 customers ask 4 questions each with answers of 400 tokens
    And the engine "assistant-1" is reclaimed with 3000 ms of notice
    Then every caller gets the whole answer to its own question
    And no answer was interrupted

  Scenario: A daemon receives SIGTERM
    Guards against a planned stop that interrupts an answer or a booking.
    Given a fleet with 3 engines and seed 1105
    When a booking is sent every 50 ms
    And 8 questions with answers of 200 tokens are sent to one host
    And that host receives SIGTERM
    Then every caller gets the whole answer to its own question
    And no answer was interrupted
    And every booking ran once and has its answer
