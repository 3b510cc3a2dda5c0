Feature: What hosts tell each other while endpoints are in trouble

  # Guards against reports that grow with all silences of the fleet and take the hosts' processors.
  Scenario Outline: A report names no more silences than the hosts that exchange it directly wait for
    When each of <hosts> hosts waits for 2 of 46 endpoints that other hosts hear, in 4 seeded days
    Then no report names silences of other hosts, and answers only for those of hosts that report to its sender
    And each host learns of the answers within 1000 ms

    Examples:
      | hosts |
      | 16    |
      | 73    |
      | 195   |

  # Guards against silences that nobody answers since their host reports to one other host only.
  Scenario Outline: Silences of hosts that report through aggregators are answered
    When each of <hosts> hosts that report through aggregators waits for 2 of 46 endpoints that other hosts hear, in 4 seeded days
    Then no report names silences other than of its sender and of the hosts that report to it only
    And each host learns of the answers within 1200 ms

    Examples:
      | hosts |
      | 16    |
      | 73    |
      | 195   |

  # Guards against a round of reports for each change while endpoints crash.
  Scenario: Changes that follow each other are announced together
    Then in 200 seeded series each change is announced within 205 ms, and at most 6 announcements are made in any second

  # Guards against announcements that cost a host of a large fleet more than its regular reports.
  Scenario Outline: What a host tells others takes a bounded number of reports, however much changes
    Then in 50 seeded series with <hosts> hosts, a host begins no more reports in any second than its interval allows twice

    Examples:
      | hosts |
      | 6     |
      | 16    |
      | 24    |
      | 73    |
      | 195   |

  # Guards against news that are forgotten while an older report is on its way.
  Scenario: Something urgent that becomes known while a report is on its way follows it
    Then in 500 seeded series each urgent change is in a report that begins after it and before the next report ends
