@promises
Feature: A new configuration reaches every failure domain and never goes back (P7)

  Scenario: Two operators submit at once
    Guards against a submission that silently replaces another one, and against hosts that keep an old configuration.
    Given a fleet with 1 engines and seed 1501
    And the versions of all hosts are watched
    When two operators submit different answers at once
    Then one submission is in effect on all hosts and the other operator is told the difference
    When an operator submits other answers
    Then all hosts have the version 3 and none went back

  Scenario: Hosts without the key-value service and an older stored head
    Guards against a host that stays on, starts with or goes back to an old configuration.
    Given a fleet with seed 1502 whose hosts of "st-jerome" reach the key-value service through a fault proxy
    And the versions of all hosts are watched
    When the route "keyValue" is cut
    And an operator submits other answers
    Then all hosts have the version 2 and none went back
    When the key-value service goes down for all
    And a new host "entry-7" starts in "ste-agathe"
    Then all hosts have the version 2 and none went back
    When the key-value service is back for all
    And the stored head is replaced by version 1
    And the host "entry-2" is started again
    And a new host "entry-8" starts in "ste-agathe"
    Then all hosts have the version 2 and none went back

  Scenario: A starting host is not ready with an older stored head
    Guards against a host that takes requests under a configuration which its peers have already replaced.
    Given a stored head of version 1 and a peer with version 2 that answers late
    Then a starting host is ready with version 2 at once
