@promises
Feature: Non-idempotent requests run at most once (P3, P4)

  The plain services of these fleets neither deduplicate nor check fencing tokens, and their hosts are never reclaimed.

  Scenario: Keys sent to three entry hosts concurrently
    Guards against two hosts that both execute a key, and against a second execution when a key is retried.
    Given a fleet with 1 engines and seed 1301
    When 20 keys are sent to three entry hosts concurrently
    And all keys are sent again
    Then every booking ran once and has its answer

  Scenario: The owner is paused for longer than a takeover and then resumes
    Guards against a former owner that resumes and sends requests which its successor has already answered or executed.
    Given a fleet with 1 engines and seed 1302
    When 20 keys are sent to three entry hosts concurrently
    And the service "booking-1" delays its responses by 1500 ms
    And 20 keys start being sent to three entry hosts concurrently
    And the owner of most shards is paused until other hosts own its shards
    And all keys are sent again
    And the paused host resumes
    And all keys are sent again
    Then no booking ran twice and every one has a true outcome

  Scenario: The owner is killed during a reclaim
    Guards against lost or repeated keys when the handover of shards is interrupted.
    Given a fleet with 1 engines and seed 1303
    When a booking is sent every 50 ms
    And 20 keys start being sent to three entry hosts concurrently
    And the owner of most shards is reclaimed and killed after 50 ms
    And all keys are sent again
    Then no booking ran twice and every one has a true outcome

  Scenario: The key-value service is down during two reclaims
    Guards against refused or repeated bookings when shards change owners without the key-value service.
    Given a fleet with 1 engines and seed 1304
    When a booking is sent every 50 ms
    And 20 keys are sent to three entry hosts concurrently
    And the key-value service goes down for all
    And the owner of most shards is reclaimed with 5000 ms of notice
    And all keys are sent again
    And the owner of most shards is reclaimed with 5000 ms of notice
    And all keys are sent again
    And the key-value service recovers for all
    And all keys are sent again
    Then every booking ran once and has its answer

  Scenario: The key-value service loses replies of its writes
    Guards against treating a write that took effect as failed because its reply was lost.
    Given a fleet with 1 engines and seed 1305
    When the key-value service loses the replies of its next 8 writes
    And 20 keys are sent to three entry hosts concurrently
    And the key-value service loses the replies of its next 8 writes
    And 20 keys start being sent to three entry hosts concurrently
    And all keys are sent again
    Then every booking ran once and has its answer
