Feature: Which hosts serve callers

  # Guards against small hosts that get as many callers as hosts of four times their capacity.
  Scenario Outline: Unequal hosts are loaded in proportion to their processor capacity
    Given a fleet of 195 hosts of two capacities in 5 failure domains
    When callers in all failure domains request addresses while requests keep <work> processors busy
    Then no host has more than 1.5 times the mean load per capacity of the serving hosts
    And the serving hosts have between <least> and <most> processors

    Examples:
      | work | least | most |
      | 0    | 19    | 24   |
      | 3    | 19    | 24   |
      | 6    | 37    | 40   |
      | 12   | 74    | 79   |

  # Guards against callers that get no address, or only addresses that are lost with a single failure domain.
  Scenario: Callers get only live hosts after any loss
    Given a fleet of 195 hosts of two capacities in 5 failure domains
    When half of the serving hosts, then a failure domain, then all but 14 hosts are lost
    Then after each loss callers in every failure domain get at least 3 hosts, all of them alive
    And the serving hosts had enough processors for the load after each loss that left enough

  # Guards against callers that depend on their own failure domain alone.
  Scenario: Callers get hosts of their own failure domain and one of each other failure domain
    Given a fleet of 195 hosts of two capacities in 5 failure domains
    Then a directory response lists at least 3 hosts of the caller's failure domain and 1 of each other one

  # Guards against hosts that send callers to different sets because their views of the fleet differ slightly.
  Scenario: Hosts with slightly different views of the fleet choose nearly the same serving set
    Then in random fleets the loss of one host changes the serving set by only a few hosts

  # Guards against a host outside of the set that responds to callers from its own incomplete state.
  Scenario: Hosts outside of the serving set receive the set and changes of the store from a serving host
    Given a fleet of 24 hosts with a store stand-in
    When the fleet has run for 4 s
    Then all hosts name the same 6 hosts as serving
    And at most 3 hosts watch the store
    And a change of the store reaches all hosts within 1500 ms

  # Guards against use that is lost, or counted twice, because a caller still uses a host that no longer serves.
  Scenario: Use of a host outside of the serving set is counted by all serving hosts
    Given a fleet of 24 hosts with a store stand-in
    When the fleet has run for 4 s
    And a host outside of the serving set records use of an endpoint
    Then the serving hosts and that host count it once within 2000 ms

  # Guards against a set that stays too small in a burst until callers are refused.
  Scenario: More hosts serve when requests take more processor time
    Given a fleet of 24 hosts with a store stand-in
    When the fleet has run for 4 s
    And the requests of a serving host keep 2 processors busy
    Then within 3000 ms all hosts name at least 12 hosts as serving

  # Guards against callers that are sent to unreachable hosts until the entries of these hosts expire.
  Scenario: Crashed hosts are replaced in the serving set
    Given a fleet of 24 hosts with a store stand-in
    When the fleet has run for 4 s
    And half of the serving hosts crash
    Then within 4000 ms all hosts name 6 hosts as serving, none of them crashed

  # Guards against use that a serving host counts once from its group peers and again from the reply to its attach report.
  Scenario: Use of serving hosts is counted once by all serving hosts
    Given a fleet of 24 hosts with a store stand-in
    When the fleet has run for 4 s
    And two serving hosts record use of an endpoint
    Then the serving hosts count the use of each once for 4 s

  # Guards against limits that are used twice: by partitioned hosts that still have callers, and by the other hosts once the
  # entries of the partitioned ones have expired.
  Scenario: Hosts whose entries have expired keep their share of customers' limits for a while
    Given a fleet of 8 hosts with a store stand-in
    When the fleet has run for 4 s
    And 3 hosts are partitioned and their entries expire
    Then the others reserve 3 of 8 shares for them for at least 8 s and at most 12 s
