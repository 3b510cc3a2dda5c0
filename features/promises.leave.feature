@promises
Feature: A leaving host receives no new requests (P5)

  Scenario: A host with answers in progress is reclaimed
    Guards against requests that are sent to a host which is about to be terminated.
    Given a fleet with 1 engines and seed 1401
    When 4 questions with answers of 400 tokens are sent to one host
    And that host's reclaim is announced with 12000 ms of notice
    Then that host refuses every new request and lists other entry points
    And no host lists that host as an entry point any more
    And every caller gets the whole answer to its own question

  Scenario: A host is reclaimed while the key-value service is down and another host is paused
    Guards against a leave that is only announced through shared services, and against a resumed host that still lists the leaving one.
    Given a fleet with 1 engines and seed 1402
    When 4 questions with answers of 400 tokens are sent to one host
    And the key-value service goes down for all
    And the host "entry-2" is paused
    And that host's reclaim is announced with 12000 ms of notice
    Then that host refuses every new request and lists other entry points
    When the host "entry-2" is resumed
    Then no host lists that host as an entry point any more
    And every caller gets the whole answer to its own question
