Feature: Non-idempotent requests

  Scenario: A key submitted at three hosts concurrently runs once
    Guards against two hosts that each believe they own the shard and both send the request.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at hosts 0, 1 and 2 concurrently
    Then all callers got the same response
    And the endpoint ran the key "k1" 1 time

  Scenario: A key resubmitted at another host gets the recorded response
    Guards against a second run when the caller did not receive the first response.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    And the key "k1" is submitted at host 2
    Then all callers got the same response
    And the endpoint ran the key "k1" 1 time

  Scenario: A key with a different body is refused, and equal keys of different customers are distinct
    Guards against returning the result of another request.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    And the key "k1" is submitted at host 1 with a different body
    And the key "k1" is submitted at host 1 by another customer
    Then the responses were "ok, shard.keyReused/no, ok"
    And the endpoint ran the key "k1" 2 times

  Scenario: A response can be read only by its customer
    Guards against returning a response to another customer.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    Then its response can be read at host 2 by its customer and by nobody else

  Scenario: A write whose reply was lost is recognised
    Guards against abandoning or retrying a request whose intent was written but whose acknowledgement was lost.
    Given an entry fleet of 3 hosts in 3 failure domains
    And the key-value service loses the replies of the next 2 writes
    When the key "k1" is submitted at host 0
    Then the responses were "ok"
    And the endpoint ran the key "k1" 1 time

  Scenario: An intent of a terminated owner becomes unknown and is not sent again
    Guards against a second run after a takeover.
    Given an entry fleet of 3 hosts in 3 failure domains
    And the endpoint runs requests without responding
    When the key "k1" is submitted at host 0 and its owner is terminated
    And the key "k1" is submitted at a surviving host
    Then the last response was "shard.unknown/unknown"
    And the endpoint ran the key "k1" 1 time

  Scenario: An outage of the key-value service does not stop the shard
    Guards against refusing all bookings while the key-value service is down.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    And the key-value service goes down
    And the key "k1" is submitted at host 1
    And another key of the same shard is submitted at host 1
    Then the responses were "ok, ok, ok"

  Scenario: An owner without the key-value service and its standbys runs nothing
    Guards against an owner that acts without confirmation from the key-value service or a standby.
    Given an entry fleet of 3 hosts in 3 failure domains
    When the key "k1" is submitted at host 0
    And the key-value service goes down
    And the owner is cut off from all peers
    And another key of the same shard is submitted at the owner
    Then the last response was "shard.noWitness/unknown"
    And the endpoint ran the other key 0 times

  Scenario: A leaving host hands over its shards before it stops
    Guards against a shard without an owner after an announced reclaim, with and without the key-value service.
    Given an entry fleet of 4 hosts in 4 failure domains
    When the key "k1" is submitted at host 0
    And the owner leaves
    And the key "k1" is submitted at a surviving host
    And the key-value service goes down
    And the owner leaves
    And another key of the same shard is submitted at a surviving host
    Then the responses were "ok, ok, ok"
    And the endpoint ran the key "k1" 1 time

  Scenario: A key resubmitted after its result has expired is not run again
    Guards against a second run when only the sealed segments contain the key, also after a takeover.
    Given an entry fleet of 3 hosts that keeps results for 30 ms
    When the key "k1" is submitted at host 0
    And the result of the key has been sealed
    And the key "k1" is submitted at host 1
    And the owner is terminated
    And the key "k1" is submitted at a surviving host
    Then the responses were "ok, shard.expired/yes, shard.expired/yes"
    And the endpoint ran the key "k1" 1 time

  Scenario: A status query resolves an unknown key
    Guards against withholding a response that the endpoint still has.
    Given an entry fleet of 3 hosts whose endpoint answers status queries
    And the endpoint runs requests without responding
    When the key "k1" is submitted at host 0 and its owner is terminated
    And the key "k1" is submitted at a surviving host
    Then the responses were "shard.unknown/unknown, ok"
    And the endpoint ran the key "k1" 1 time

  Scenario: No generated fault schedule violates an invariant
    Guards against a second run, a lost accepted key, a false "not run", a result lost after delivery and a shard that stops responding.
    When the checker runs 20000 schedules from seed 1
    Then no schedule violated an invariant

  Scenario Outline: The checker detects that the rule "<rule>" is disabled
    Guards against a checker whose schedules don't reach the violation that the rule prevents.
    When the checker runs up to 20000 schedules from seed 1 with the rule "<rule>" disabled
    Then a schedule violated an invariant and its trace can be printed

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
