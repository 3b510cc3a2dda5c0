Feature: Which hosts serve callers

  # Guards against small hosts that get as many callers as hosts of four times their strength.
  Scenario Outline: Unequal hosts are loaded in proportion to their strength
    Given a fleet of 195 hosts of two strengths in 5 failure domains
    When callers of all failure domains ask for addresses while requests take <work> processors
    Then no host carries more than 1.5 times the mean load per strength of the hosts that serve
    And the serving hosts have between <least> and <most> processors

    Examples:
      | work | least | most |
      | 0    | 19    | 24   |
      | 3    | 19    | 24   |
      | 6    | 37    | 40   |
      | 12   | 74    | 79   |

  # Guards against callers who are given addresses that are all lost with one failure domain, or none at all.
  Scenario: Every caller is given living hosts after any loss
    Given a fleet of 195 hosts of two strengths in 5 failure domains
    When half of the serving hosts, then a failure domain, then all but 14 hosts are lost
    Then after each loss callers of every failure domain are given at least 3 hosts, all of them alive
    And the serving hosts had enough processors for the load after each loss that left enough

  # Guards against callers of one failure domain that all depend on it.
  Scenario: Callers get the hosts of their own failure domain and one of each other
    Given a fleet of 195 hosts of two strengths in 5 failure domains
    Then an answer to a caller holds at least 3 hosts of its own failure domain and 1 of each other one

  # Guards against hosts that send callers to different sets because they know a little more or less.
  Scenario: Hosts that know a little more or less choose nearly the same set
    Then of random fleets, one without any host leaves the others' places but for one host

  # Guards against a host outside of the set that answers callers from its own, poorer knowledge.
  Scenario: Hosts outside of the serving set learn it, and what changes in the store, from one that serves
    Given a fleet of 24 hosts beside a store stand-in
    When the fleet has run for 4 s
    Then all hosts name the same 6 hosts as serving
    And at most 3 hosts watch the store
    And a change of the store reaches all hosts within 1500 ms

  # Guards against use that is lost, or counted twice, because a caller still uses a host that does not serve any more.
  Scenario: Use of a host outside of the serving set counts at all that serve
    Given a fleet of 24 hosts beside a store stand-in
    When the fleet has run for 4 s
    And a host outside of the serving set notes use of an endpoint
    Then the serving hosts and that host know it once within 2000 ms

  # Guards against a set that is too small for a burst until callers are refused.
  Scenario: More hosts serve when requests take more time
    Given a fleet of 24 hosts beside a store stand-in
    When the fleet has run for 4 s
    And the requests of a serving host take 2 processors
    Then within 3000 ms all hosts name at least 12 hosts as serving

  # Guards against callers that are sent to silent hosts until their entries lapse.
  Scenario: Hosts that end without a word are replaced
    Given a fleet of 24 hosts beside a store stand-in
    When the fleet has run for 4 s
    And half of the serving hosts end without a word
    Then within 4000 ms all hosts name 6 hosts as serving, none of them ended

  # Guards against use that a serving host hears from its mates and once more when it asks whether it is counted in.
  Scenario: Use of serving hosts counts once at all that serve
    Given a fleet of 24 hosts beside a store stand-in
    When the fleet has run for 4 s
    And two serving hosts note use of an endpoint
    Then the serving hosts know it once each for 4 s

  # Guards against limits that are used twice: by hosts that are cut off and still have callers, and by the others once the entries of
  # those have lapsed.
  Scenario: Hosts whose entries have lapsed keep their part of customers' limits for a while
    Given a fleet of 8 hosts beside a store stand-in
    When the fleet has run for 4 s
    And 3 hosts are cut off and their entries lapse
    Then the others leave 3 parts of 8 to them for at least 8 s and not for more than 12 s
