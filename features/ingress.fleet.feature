Feature: What the hosts of an ingress share

  # Guards against hosts that no longer learn of each other's use once the fleet is too large for an exchange of all pairs.
  Scenario: In a grouped exchange every host hears of every other one, from few peers
    When exchanges are planned for fleets of random sizes and names
    Then every host has its group and one host of each other group to talk to
    And a host has at most 5 times the square root of the hosts to talk to

  Scenario: A host that joins changes no other host's group
    Then fleets of 60 and of 61 hosts put the same hosts into each group

  # Guards against limits that are handed out twice, or refused for nothing, by hosts that learn of use in two steps.
  Scenario: A customer's limit holds over groups of hosts
    Given 72 hosts in groups that exchange their use every 300 ms
    When a customer asks for five times its limit for 24 s
    Then no window of 8 s holds more than the limit with its tolerance
    And more than 60 percent of the limit is let through

  # Guards against calls to the store that grow with the fleet, and against hosts that learn of changes late or not at all.
  Scenario: Few hosts watch the store and the others learn of changes from them
    Given a fleet of 16 hosts beside a store stand-in
    And requests that keep all hosts serving
    When the fleet has run for 5 s
    Then at most 3 hosts watch the store
    And a change of the store reaches all hosts within 300 ms
    And use of an endpoint that one host notes is known to all hosts, once, within 1500 ms

  # Guards against spending most of an idle host's processor on heartbeats of endpoints that say nothing new.
  Scenario: Heartbeats of endpoints are neither passed on nor logged, and what they change is
    Given a fleet of 16 hosts beside a store stand-in
    And 20 endpoints that write a heartbeat every 500 ms
    When the fleet has run for 3 s
    Then no host took a change from a peer or logged an endpoint meanwhile
    And each host that watches the store asked it at most 12 times
    And an endpoint that leaves is known to all hosts within 1000 ms
    And an endpoint that vanishes and comes back unchanged is in use at all hosts

  Scenario: Others watch the store when those that did so have ended
    Given a fleet of 16 hosts beside a store stand-in
    When the fleet has run for 2 s
    And all hosts that watch the store end without a word
    Then a change of the store reaches all hosts within 3000 ms
