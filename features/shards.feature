Feature: Non-idempotent requests

  Scenario: One key sent to three entry hosts at once runs once
    Guards against two hosts that each believe they own the shard and both send the request.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at hosts 0, 1 and 2 at once
    Then all callers got the same answer
    And the endpoint ran the key "k1" 1 time

  Scenario: A resubmitted key gets the recorded answer from another host
    Guards against a second run when the caller did not see the first answer.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    And the key "k1" is submitted at host 2
    Then all callers got the same answer
    And the endpoint ran the key "k1" 1 time

  Scenario: A key with another body is refused and the same key of another customer is another key
    Guards against answering one request with the result of another.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    And the key "k1" is submitted at host 1 with another body
    And the key "k1" is submitted at host 1 by another customer
    Then the answers were "ok, shard.keyReused/no, ok"
    And the endpoint ran the key "k1" 2 times

  Scenario: An answer can be read by its customer only
    Guards against handing an answer to another customer.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    Then its answer can be read at host 2 by its customer and by nobody else

  Scenario: A write whose reply was lost is recognised
    Guards against giving up or repeating a request whose intent was written although the acknowledgement was lost.
    Given an entry fleet of 3 hosts in 3 failure domains
    And the key-value service loses the replies of the next 2 writes
    When the key "k1" is submitted at host 0
    Then the answers were "ok"
    And the endpoint ran the key "k1" 1 time

  Scenario: A dead owner's intent becomes unknown and is not sent again
    Guards against a second run after a takeover.
    Given an entry fleet of 3 hosts in 3 failure domains
    And the endpoint runs requests without answering
    When the key "k1" is submitted at host 0 and its owner dies
    And the key "k1" is submitted at a surviving host
    Then the last answer was "shard.unknown/unknown"
    And the endpoint ran the key "k1" 1 time

  Scenario: An outage of the key-value service does not stop the shard
    Guards against refusing all bookings while the key-value service is down.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    And the key-value service goes down
    And the key "k1" is submitted at host 1
    And another key of the same shard is submitted at host 1
    Then the answers were "ok, ok, ok"

  Scenario: Without the key-value service and without the standbys nothing is run
    Guards against an owner that acts alone.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    And the key-value service goes down
    And the owner is cut off from all peers
    And another key of the same shard is submitted at the owner
    Then the last answer was "shard.noWitness/unknown"
    And the endpoint ran the other key 0 times

  Scenario: A leaving host hands its shards over first
    Guards against a shard without owner after an announced reclaim, with and without the key-value service.
    Given an entry fleet of 4 hosts in 4 failure domains
    When the key "k1" is submitted at host 0
    And the owner leaves
    And the key "k1" is submitted at a surviving host
    And the key-value service goes down
    And the owner leaves
    And another key of the same shard is submitted at a surviving host
    Then the answers were "ok, ok, ok"
    And the endpoint ran the key "k1" 1 time

  Scenario: A key that comes back after its result was dropped is not run again
    Guards against a second run when only the sealed segments remember the key, also after a takeover.
    Given an entry fleet of 3 hosts that keeps results for 30 ms
    When the key "k1" is submitted at host 0
    And the result of the key has been sealed
    And the key "k1" is submitted at host 1
    And the owner dies
    And the key "k1" is submitted at a surviving host
    Then the answers were "ok, shard.expired/yes, shard.expired/yes"
    And the endpoint ran the key "k1" 1 time

  Scenario: A status query resolves an unknown key
    Guards against leaving a caller without the answer that the endpoint still has.
    Given an entry fleet of 3 hosts whose endpoint answers status queries
    And the endpoint runs requests without answering
    When the key "k1" is submitted at host 0 and its owner dies
    And the key "k1" is submitted at a surviving host
    Then the answers were "shard.unknown/unknown, ok"
    And the endpoint ran the key "k1" 1 time

  Scenario: No generated schedule of faults breaks an invariant
    Guards against a second run, a lost accepted key, a false "not run", a result lost after it was told and a shard that never answers again.
    When the checker runs 20000 schedules from seed 1
    Then no schedule broke an invariant

  Scenario Outline: The checker notices that the rule "<rule>" is missing
    Guards against a checker whose schedules are too tame to show the fault that the rule prevents.
    When the checker runs up to 20000 schedules from seed 1 without the rule "<rule>"
    Then a schedule broke an invariant and its trace can be printed

    Examples:
      | rule                   |
      | allAcknowledgements    |
      | promises               |
      | neverRetryIntent       |
      | proofOfTermination     |
      | intentBeforeSend       |
      | unknownAfterLastResort |
      | confirmedRefusal       |
      | agreementOfHolders     |
      | survivingStandby       |
      | agreedPromise          |
      | queryAllHosts          |
      | recordedDelivery       |
