@promises
Feature: A new configuration reaches every failure domain and is never reverted (P7)

  Scenario: Two operators submit concurrently
    Guards against a submission that silently overwrites another one, and against hosts that keep an old configuration.
    Given a fleet with 1 engines and seed 1501
    And the versions of all hosts are monitored
    When two operators submit different answers concurrently
    Then one submission is in effect on all hosts and the other operator is shown the difference
    When an operator submits changed answers
    Then all hosts have version 3 and no ready host reverted

  Scenario: Hosts without the key-value service and an older stored head
    Guards against a host that keeps, starts with or reverts to an old configuration.
    Given a fleet with seed 1502 whose hosts of "st-jerome" reach the key-value service through a fault proxy
    And the versions of all hosts are monitored
    When the route "keyValue" is partitioned
    And an operator submits changed answers
    Then all hosts have version 2 and no ready host reverted
    When the key-value service goes down for all
    And a new host "entry-7" starts in "ste-agathe"
    Then all hosts have version 2 and no ready host reverted
    When the key-value service recovers for all
    And the stored head is replaced by version 1
    And the host "entry-2" is restarted
    And a new host "entry-8" starts in "ste-agathe"
    Then all hosts have version 2 and no ready host reverted

  Scenario: A starting host is not ready with an older stored head
    Guards against a host that accepts requests under a configuration that its peers have already replaced.
    Given a stored head of version 1 and a peer with version 2 that responds late
    Then a starting host becomes ready only with version 2
