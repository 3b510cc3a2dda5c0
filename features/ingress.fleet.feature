Feature: State shared between ingress hosts

  # Guards against hosts that miss each other's use once the fleet is too large for all pairs to exchange.
  Scenario: In a grouped exchange every host receives the use of all others from few peers
    When exchanges are planned for fleets of random sizes and names
    Then every host reaches all others through its group and one representative of each other group
    And a host exchanges with at most 5 times the square root of the number of hosts

  Scenario: A host that joins changes no other host's group
    Then fleets of 60 and of 61 hosts put the same hosts into each group

  # Guards against limits that are exceeded, or requests that are refused needlessly, because use reaches other groups in two steps.
  Scenario: A customer's limit holds across groups of hosts
    Given 72 hosts in groups that exchange their use every 300 ms
    When a customer asks for five times its limit for 24 s
    Then no window of 8 s holds more than the limit with its tolerance
    And more than 60 percent of the limit is let through

  # Guards against store calls that grow with the fleet, and against hosts that receive changes late or never.
  Scenario: A few hosts watch the store and pass changes on to the others
    Given a fleet of 16 hosts with a store stand-in
    And requests that keep all hosts in the serving set
    When the fleet has run for 5 s
    Then at most 3 hosts watch the store
    And a change of the store reaches all hosts within 300 ms
    And use of an endpoint that one host records is counted once by all hosts within 1500 ms

  # Guards against spending most of an idle host's processor time on endpoint heartbeats that change nothing.
  Scenario: Endpoint heartbeats are neither passed on nor logged, but endpoint changes are passed on
    Given a fleet of 16 hosts with a store stand-in
    And 20 endpoints that write a heartbeat every 500 ms
    When the fleet has run for 3 s
    Then no host received a change from a peer or logged an endpoint change meanwhile
    And each host that watches the store made at most 12 watch calls
    And all hosts know of a leaving endpoint within 1000 ms
    And an endpoint that is removed and written again unchanged is usable on all hosts

  Scenario: Other hosts watch the store when the watching hosts have crashed
    Given a fleet of 16 hosts with a store stand-in
    When the fleet has run for 2 s
    And all hosts that watch the store crash
    Then a change of the store reaches all hosts within 3000 ms

  # Guards against all hosts of a large fleet reading a restored store at once, and again and again.
  Scenario: Most hosts learn of a restored store from their peers
    Given a fleet of 24 hosts with a store stand-in
    And requests that keep all hosts in the serving set
    When the fleet has run for 3 s
    And the store does not respond to the fleet for 1 s and comes back without its last 8 changes
    Then a change of the store reaches all hosts within 2000 ms
    And the hosts have made at most 3 calls each to the restored store after 2 s
