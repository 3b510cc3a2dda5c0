Feature: Policies for model requests

  Scenario: The prefix index is bounded in size
    Given a prefix index of at most 8 blocks per endpoint
    When random dispatches and cache events are applied to 3 endpoints
    Then it never holds more than 24 blocks and never matches a block that was not stored

  Scenario: A gap in the cache events makes older blocks uncertain
    Given a prefix index of at most 100 blocks per endpoint
    When the cache events "1:a 2:b 5:c" of one endpoint are applied
    Then the match of "a b c" is 0 certain and 3 uncertain blocks
    And after the cache event "6:a" the match of "a" is 1 certain and 0 uncertain blocks

  Scenario: An excluded endpoint is never chosen and a retry goes to another failure domain
    When random candidates are scored with random exclusions
    Then no choice is excluded and a failed failure domain is avoided while another has a candidate

  Scenario: Removing an endpoint moves only its own keys
    When 300 keys are ranked over 7 endpoints and one endpoint is removed
    Then every key of another endpoint keeps its endpoint

  Scenario: Removing an endpoint changes a host's subset by one endpoint
    When subsets of 5 out of 20 endpoints are computed and one endpoint is removed
    Then each subset keeps its other endpoints

  Scenario: Shares never exceed capacity or demand and leave no usable capacity unused
    When random demands with weights are allocated
    Then the shares fit the capacity, none exceeds its demand, and every unmet demand has the highest share per weight

  Scenario: Admission refuses requests that can't meet their deadline and keeps the share of an unreachable host
    Given admission control of 4 slots with two customers of equal weight
    Then a request whose deadline expires before a slot is free is refused with "deadline" and a retry delay
    And the usage of a host that stops publishing counts until it has departed

  Scenario: The retry budget allows one retry per ten first attempts
    When 1000 first attempts are made, each followed by a retry if allowed
    Then at most 103 retries were allowed

  Scenario: An interrupted stream is never dropped while its caller waits and attempts remain
    When random interruptions are planned
    Then a stalled or disconnected stream reconnects once, a started one resumes after its last token, and none fails early

  Scenario: A reclaim plan completes its moves within the notice
    When random streams are planned with random notice
    Then every stream has one step and no move ends after the notice

  Scenario: Suspect entries merge to the same state in any order
    When random crashes are recorded at 3 hosts and exchanged in random order
    Then all hosts agree, and exactly the fingerprints with two crashes are rejected for 10 minutes

  Scenario: A crash during an isolated run is attributed to the suspect alone
    Given a tracker with the suspect "bad" running in isolation
    When the endpoint crashes with "bad" and "good" in progress
    Then "bad" is rejected and "good" may run

  Scenario: A placement tolerates the loss of any failure domain at the lowest price
    When random offers are placed
    Then the required engines remain after each loss and no single-offer-per-domain mix is cheaper

  Scenario: Weight loads stay within the rate of the weight store
    When random loads are scheduled
    Then the loads in progress never exceed the rate of the store

  Scenario: Refused starts back off exponentially up to a limit
    Then 12 refusals of an offer back off from 2.5 s to at most 5 minutes and a start resets the backoff

  Scenario: An engine continues a response that another one started
    Given an emulated engine that crashes after 5 tokens of an answer
    When another engine resumes behind the forwarded tokens
    Then the caller has every token once and in order

  Scenario Outline: Recomputed tokens stay within 1.15 of the oracle at <deployment> with <load> percent load
    When routing is measured for "<deployment>" at <load> percent with "policy,oracle"
    Then the policy recomputes at most 1.15 times the oracle's tokens

    Examples:
      | deployment | load |
      | chaulage   | 70   |
      | chaulage   | 90   |
      | salal      | 70   |
      | salal      | 90   |

  Scenario Outline: The first token at p95 is not later than by least load at <load> percent load
    When routing is measured for "salal" at <load> percent with "policy,leastWithOwn"
    Then the policy's p95 of the first token is below that of least load

    Examples:
      | load |
      | 70   |
      | 90   |

  Scenario: A reclaim wave loses and repeats no token and recomputes less than always computing again
    When a failure domain of "salal" is reclaimed with 5 s of notice
    Then no token is lost or repeated and the plan recomputes fewer tokens
