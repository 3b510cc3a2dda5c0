Feature: Policies of model requests

  Scenario: The prefix index keeps to its bound
    Given a prefix index of at most 8 blocks per endpoint
    When random dispatches and cache events are applied to 3 endpoints
    Then it never holds more than 24 blocks and never matches a block that was not stored

  Scenario: A gap in the cache events makes older blocks uncertain
    Given a prefix index of at most 100 blocks per endpoint
    When the cache events "1:a 2:b 5:c" of one endpoint are applied
    Then the match of "a b c" is 0 certain and 3 uncertain blocks
    And after the cache event "6:a" the match of "a" is 1 certain and 0 uncertain blocks

  Scenario: An excluded endpoint is never chosen and a retry leaves the failed failure domain
    When random candidates are scored with random exclusions
    Then no choice is excluded and a failed failure domain is left while another has a candidate

  Scenario: A removed endpoint moves only its own keys
    When 300 keys are ranked over 7 endpoints and one endpoint is removed
    Then every key of another endpoint stays where it was

  Scenario: A host's subset changes by one endpoint when one is removed
    When subsets of 5 out of 20 endpoints are computed and one endpoint is removed
    Then each subset keeps its other endpoints

  Scenario: Shares never exceed capacity or demand and leave nothing unused
    When random demands with weights are allocated
    Then the shares fit the capacity, no one gets more than asked for, and no one with a lower share per weight was refused capacity

  Scenario: Admission refuses early what can't meet its deadline and keeps a lost host's share
    Given an admission of 4 slots with two customers of equal weight
    Then a request whose deadline passes before a slot is free is refused with "deadline" and a later retry
    And the use of a host that publishes nothing more still counts until it has departed

  Scenario: The retry budget allows a tenth of the first attempts
    When 1000 first attempts and as many retries as allowed are made
    Then at most 103 retries were allowed

  Scenario: An interrupted stream is never dropped while its caller waits and attempts remain
    When random interruptions are planned
    Then a silent stream reconnects once, a started one resumes behind its last token, and none fails early

  Scenario: A reclaim plan keeps its moves within the notice
    When random streams are planned with random notice
    Then every stream has one step and no move ends after the notice

  Scenario: Suspect entries merge to the same state in any order
    When random crashes are recorded at 3 hosts and exchanged in random order
    Then all hosts agree, and exactly the fingerprints with two crashes are rejected for 10 minutes

  Scenario: A suspect is charged alone when it crashes its endpoint
    Given a tracker with the suspect "bad" running in isolation
    When the endpoint crashes with "bad" and "good" in progress
    Then "bad" is rejected and "good" may run

  Scenario: A placement survives the loss of any failure domain at the lowest price
    When random offers are placed
    Then the required engines remain after each loss and no single-offer-per-domain mix is cheaper

  Scenario: Loads keep to the rate of the weight store
    When random loads are scheduled
    Then the loads in progress never ask for more than the store gives

  Scenario: Refused starts back off up to a limit
    Then 12 refusals of an offer wait from 2.5 s up to at most 5 minutes and a start resets them

  Scenario: An engine continues an answer that another one began
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
