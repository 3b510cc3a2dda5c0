Feature: Membership

  Scenario: Records merge to the same result in any order
    Then merging records is commutative, associative and idempotent
    And leaving is never undone within an incarnation
    And a newer incarnation replaces an older one whatever its state

  Scenario Outline: Records are ordered by incarnation, then refutations, then health
    Given a member known as "<known>"
    When the update "<update>" arrives
    Then the member is "<result>"

    Examples:
      | known              | update             | result             |
      | run 1, 0, alive    | run 1, 0, suspect  | run 1, 0, suspect  |
      | run 1, 0, suspect  | run 1, 0, alive    | run 1, 0, suspect  |
      | run 1, 0, suspect  | run 1, 1, alive    | run 1, 1, alive    |
      | run 1, 1, alive    | run 1, 0, dead     | run 1, 1, alive    |
      | run 1, 0, dead     | run 1, 1, alive    | run 1, 1, alive    |
      | run 1, 0, dead     | run 2, 0, alive    | run 2, 0, alive    |
      | run 2, 0, alive    | run 1, 9, dead     | run 2, 0, alive    |
      | run 1, 0, leaving  | run 1, 1, alive    | run 1, 1, leaving  |
      | run 1, 0, leaving  | run 2, 0, alive    | run 2, 0, alive    |

  Scenario: A step modifies neither the previous state nor its input
    Then 2000 random inputs leave previous states and inputs unmodified

  Scenario: Each change is sent exactly as often as its send limit
    Then a change is sent as often as its send limit for fleets of 2 to 400

  Scenario: Every member is probed in each round
    Then nodes with equal tables probe every member exactly once per round

  Scenario: A node refutes a false death claim unless it has stopped
    Given a node that others consider dead
    When it receives the claim
    Then it replies with a higher refutation count
    And a stopped node does not refute the claim

  Scenario: A node that was paused suspects no other node
    Given a node with a probe in progress
    When it is paused for 3 seconds and then runs for one tick
    Then it suspects no other node

  Scenario: All nodes detect a dead node, and only that node, at 5% message loss
    Given a simulated fleet of 20 nodes with 5% loss
    When a node dies
    Then every running node considers exactly that node dead

  Scenario: Pauses of one second cause no false death
    Given a simulated fleet of 20 nodes with 2% loss
    When every node pauses for one second in turn
    Then no node was declared dead

  Scenario: All nodes see a leaving node as leaving before they see it as dead
    Given a simulated fleet of 20 nodes with 5% loss
    When a node leaves and dies
    Then every running node saw it as leaving and then as dead

  Scenario: Nodes recover from a partition in which each side declared the other dead
    Given a simulated fleet of 12 nodes with 0% loss
    When a partition lasts until each side considers the other dead, and then heals
    Then every node considers every node alive again

  Scenario: A published value reaches every node and newer versions replace older ones
    Given a simulated fleet of 20 nodes with 5% loss
    When a node publishes the values "old" and "new" under one name
    Then every node has the value "new"

  Scenario: Membership services discover each other through one seed and observe a leave and a restart
    Given membership services on 3 hosts that know one seed
    Then all 3 hosts see each other as alive
    When the host "host-2" leaves and stops
    Then the other hosts see "host-2" as dead
    When the host "host-2" starts again
    Then the other hosts see "host-2" as alive under a newer incarnation
    And a value that "host-2" publishes is read by the other hosts

  Scenario: A restarted host whose clock was set back is accepted under a newer incarnation
    Given membership services on 3 hosts that know one seed
    Then a value that "host-2" publishes is read by the other hosts
    When the host "host-2" leaves and stops
    And the host "host-2" starts again with its clock set back by an hour
    Then the other hosts see "host-2" as alive under a newer incarnation
    And a value that "host-2" publishes is read by the other hosts

  Scenario: A configuration reaches hosts that do not watch the key-value service, and older or malformed ones are ignored
    Given 4 hosts in one failure domain and a key-value service that holds version 1
    Then every host has version 1 in effect and is ready
    When version 2 is submitted
    Then every host has version 2 in effect and is ready
    And at most 2 hosts watch the key-value service
    And every host reads from its peers that version 2 is in effect on all hosts
    When a malformed head, a head with a wrong digest and version 1 are written
    And version 3 is submitted
    Then every host has version 3 in effect and is ready
    And no host ever went back to an older version

  Scenario: While the key-value service is down, a host gets its configuration from peers, and a host without peers is not ready
    Given 3 hosts in one failure domain and a key-value service that holds version 1
    Then every host has version 1 in effect and is ready
    When the store of the configuration goes down
    And one more host starts
    Then every host has version 1 in effect and is ready
    When a host without peers starts
    Then that host is not ready
    When the store of the configuration comes back
    Then every host has version 1 in effect and is ready

  Scenario: A delta reconstructs the new text from the old one
    Then the delta of any two texts rebuilds the second
    And the delta of a long text with one change is shorter than 200 characters
