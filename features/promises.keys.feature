@promises
Feature: Non-idempotent requests run at most once (P3, P4)

  The plain services of these fleets neither deduplicate nor check fencing tokens, and their hosts are never reclaimed.

  Scenario: Keys sent to three entry hosts at once
    Guards against two hosts that both run a key, and against a second run when a key is sent again.
    Given a fleet with 1 engines and seed 1301
    When 20 keys are sent to three entry hosts at once
    And all keys are sent again
    Then every booking ran once and has its answer

  Scenario: The owner is paused for longer than a takeover and then goes on
    Guards against a former owner that sends what its successor has answered or run.
    Given a fleet with 1 engines and seed 1302
    When 20 keys are sent to three entry hosts at once
    And the service "booking-1" answers only after 1500 ms
    And 20 keys are being sent to three entry hosts at once
    And the owner of most shards is paused until other hosts have its shards
    And all keys are sent again
    And the paused host goes on
    And all keys are sent again
    Then no booking ran twice and every one has a true outcome

  Scenario: The owner is killed in the middle of a reclaim
    Guards against losing or repeating keys when the hand-over of shards stops half-way.
    Given a fleet with 1 engines and seed 1303
    When a booking is sent every 50 ms
    And 20 keys are being sent to three entry hosts at once
    And the owner of most shards is reclaimed and killed after 50 ms
    And all keys are sent again
    Then no booking ran twice and every one has a true outcome

  Scenario: The key-value service is down across two reclaims
    Guards against refused or repeated bookings while shards change hands without the key-value service.
    Given a fleet with 1 engines and seed 1304
    When a booking is sent every 50 ms
    And 20 keys are sent to three entry hosts at once
    And the key-value service goes down for all
    And the owner of most shards is reclaimed with 5000 ms of notice
    And all keys are sent again
    And the owner of most shards is reclaimed with 5000 ms of notice
    And all keys are sent again
    And the key-value service is back for all
    And all keys are sent again
    Then every booking ran once and has its answer

  Scenario: The key-value service loses replies of its writes
    Guards against taking a write that took effect for one that did not.
    Given a fleet with 1 engines and seed 1305
    When the key-value service loses the replies of its next 8 writes
    And 20 keys are sent to three entry hosts at once
    And the key-value service loses the replies of its next 8 writes
    And 20 keys are being sent to three entry hosts at once
    And all keys are sent again
    Then every booking ran once and has its answer
