Feature: Fleet on loopback

  Scenario: The commands work against a running fleet
    Guards against a client that reads another form of status than daemons write.
    Given a fleet of 3 daemons of "salal"
    When the fleet's answers are applied with another latency target
    Then apply ends with 0, and every daemon reports version 2
    And status names 3 alive members
    And a booked payment is listed by requests, explained by explain, and none is unknown
    And drain makes "entry-2" stop by itself, and the others no longer offer it

  Scenario: A fleet ends without leaving processes or files
    Guards against processes that outlive a test or a demo and load the machine.
    Given a fleet of 2 daemons of "chaulage"
    When a daemon is killed and restarted and a failure domain is reclaimed
    Then the restarted daemon is ready and the reclaimed hosts have ended
    And after the stop no process and no directory of the fleet is left

  Scenario: A launcher that ends early takes its fleet along
    Guards against a demo that is interrupted and leaves its processes behind.
    When a demo is interrupted after its processes have started
    Then none of its processes is left

  Scenario: A replay checks the answers of a running fleet
    Guards against a replay that reports success without comparing answers.
    Given a fleet of 3 daemons of "chaulage"
    When a trace of 20 requests with seed 4301 is replayed against it
    Then replay ends with 0 and its result holds 20 requests, of which all were answered
    And the same trace with a customer that does not exist ends with 2

  Scenario: Hosts that are started through the cloud get a process and join the fleet
    Guards against planner tests in which replacements never appear.
    Given a fleet of 2 daemons of "salal" that provisions hosts
    When an entry host and an engine are started through the cloud API
    Then the daemons offer the new entry host, and the host list names the new engine
