Feature: Membership

  Scenario: Records merge to the same result in any order
    Then merging records is commutative, associative and idempotent
    And leaving is never undone within an incarnation
    And a newer incarnation replaces an older one whatever its state

  Scenario Outline: A record is judged by incarnation, refutations and health, in this order
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

  Scenario: A step changes neither the former state nor its input
    Then 2000 random inputs leave former states and inputs as they were

  Scenario: Each change is sent a bounded number of times
    Then a change is taken from the queue as often as its limit for fleets of 2 to 400

  Scenario: No member goes unprobed in a round
    Then nodes with equal tables probe each other member exactly once per round

  Scenario: A node refutes a suspicion and a false death, but not after it stopped
    Given a node that others hold for dead
    When the claim reaches it
    Then it answers with a higher refutation
    And a stopped node does not answer with a higher refutation

  Scenario: A node that was paused accuses nobody
    Given a node with a probe in progress
    When it is paused for 3 seconds and runs again for one tick
    Then it suspects nobody

  Scenario: A dead node is removed everywhere and nobody else is, at 5% message loss
    Given a simulated fleet of 20 nodes with 5% loss
    When a node dies
    Then every running node holds exactly that node for dead

  Scenario: Pauses of one second remove nobody
    Given a simulated fleet of 20 nodes with 2% loss
    When every node pauses for one second in turn
    Then no node was held for dead

  Scenario: A leaving node is known as leaving everywhere although it dies afterwards
    Given a simulated fleet of 20 nodes with 5% loss
    When a node leaves and dies
    Then every running node first held it for leaving and then for dead

  Scenario: A partition heals although each side held the other for dead
    Given a simulated fleet of 12 nodes with 0% loss
    When a partition lasts until each side holds the other for dead, and then heals
    Then every node holds every node for alive again

  Scenario: A published value reaches every node and newer versions replace older ones
    Given a simulated fleet of 20 nodes with 5% loss
    When a node publishes the values "old" and "new" under one name
    Then every node has the value "new"

  Scenario: Real processes' services find each other by one seed, see a leave and a restart under a new incarnation
    Given membership services on 3 hosts that know one seed
    Then all 3 hosts are alive for each other
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

  Scenario: A configuration reaches hosts that never call the key-value service for it, and an older or malformed one changes nothing
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

  Scenario: A host starts from its peers while the key-value service is down, and a host without peers waits for it
    Given 3 hosts in one failure domain and a key-value service that holds version 1
    Then every host has version 1 in effect and is ready
    When the store of the configuration goes down
    And one more host starts
    Then every host has version 1 in effect and is ready
    When a host without peers starts
    Then that host is not ready
    When the store of the configuration comes back
    Then every host has version 1 in effect and is ready

  Scenario: A delta rebuilds the new text from the old one
    Then the delta of any two texts rebuilds the second
    And the delta of a long text with one change is shorter than 200 characters
