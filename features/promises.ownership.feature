@promises
Feature: Answers reach their own customers only (P2)

  Scenario: Two customers with many interleaved streams
    Guards against answers mixed up between requests or customers.
    Given a fleet with 3 engines and seed 1201
    When 2 customers ask 20 questions each with answers of 80 tokens
    Then every caller gets the whole answer to its own question
    And no answer was interrupted

  Scenario: Callers' connections are reset and black-holed
    Guards against tokens lost, repeated or taken from another answer after a caller reconnects.
    Given a fleet with 3 engines and seed 1202
    And a fault proxy in front of the callers' addresses
    When 2 customers ask 10 questions each with answers of 250 tokens
    And the connections of "callers" are reset
    And the connections of "callers" are black-holed
    Then every caller gets the whole answer to its own question
    And every caller had to reconnect

  Scenario: Connections to an engine are black-holed
    Guards against a stream that waits forever on a connection without traffic.
    Given a fleet with 1 engines and seed 1203
    And a fault proxy in front of the engine "assistant-1"
    When 2 customers ask 10 questions each with answers of 250 tokens
    And the connections of "engine" are black-holed
    Then every caller gets the whole answer to its own question
    And the daemons continued streams on new connections

  Scenario: Requests and keys of another customer
    Guards against reading, resuming or colliding with another customer's request.
    Given a fleet with 3 engines and seed 1204
    When 1 customers ask 2 questions each with answers of 150 tokens
    And two customers send a booking with the same idempotency key
    Then no host lets the other customer read or resume these requests
    And each customer has its own booking
    And every caller gets the whole answer to its own question

  Scenario: The holder of a waiting answer sends keepalives
    Guards against generating an answer twice because its engine pauses for longer than a reader waits for the holder.
    Given an answer that waits for its engine
    Then its reader receives 10 keepalives from the holder, one every 1000 ms
