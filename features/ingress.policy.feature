Feature: Ingress policies

  Scenario: The longest prefix of a path selects the route
    Given routes for "/a/", "/a/b/" and "/" of one host name
    Then "/a/b/c?x=/a/b/d/" matches "/a/b/", "/a/bc" matches "/a/", "/z" matches "/" and another host name matches none

  # Guards against admitting the limit twice in one window because killed hosts lose their counts.
  Scenario: A customer's limit holds when all hosts are killed within a window
    Given 6 hosts that exchange their use every 150 ms
    When a customer asks for five times its limit for 24 s and all hosts are killed at 6 s and at 13 s
    Then no window of 8 s holds more than the limit with its tolerance
    And more than 60 percent of the limit is let through

  # Guards against both sides of a partition admitting the whole limit.
  Scenario: A customer's limit holds in a partition
    Given 6 hosts that exchange their use every 150 ms
    When a customer asks for five times its limit for 16 s and 3 hosts are cut off at 5 s
    Then no window of 8 s holds more than the limit with its tolerance

  Scenario: A refused request refunds its quota
    Given a quota of 1 host
    When a customer acquires its whole limit and gets it refunded
    Then it can acquire the limit again at once

  # Guards against the retries of all hosts together exceeding the budget of a service.
  Scenario: Retries stay within the budget of all hosts
    Given 9 hosts with a retry budget of 0.2 and 58 in 10 s
    When every request of 30 s fails and is retried while the budget allows
    Then no window of 10 s holds more retries than the budget

  # Guards against placing all reclaimable endpoints in one failure domain, and against ordering on-demand ones needlessly.
  Scenario: An endpoint plan tolerates the loss of a failure domain
    When plans are made for random limits, prices and loads
    Then the required endpoints remain after the loss of any failure domain, as far as the limits allow
    And on-demand endpoints are planned only while fewer than the essential number serve

  # Guards against an outage when two failure domains are reclaimed while no replacement is available.
  Scenario: On-demand endpoints are ordered when reclaimable ones are scarce and when none serve
    Then with 3 reclaimable endpoints in each of two domains and scarcity, 4 essential ones lead to at least 1 on-demand one
    And with no endpoint serving, 4 essential ones lead to at least 4 on-demand ones

  Scenario: The endpoints running at the start are required until the demand is measured
    Given a requirement that holds peaks for 20 s
    When 9 endpoints are assumed at 0 s and the demand stays at 1
    Then 9 endpoints are required at 19 s and 4 at 21 s

  # Guards against a reserve computed for three failure domains only: spread over five, the same endpoints carry more load.
  Scenario Outline: The initial requirement is estimated from the running endpoints
    Then <reclaimable> reclaimable and <onDemand> on-demand endpoints in <domains> failure domains give a requirement of <required>

    Examples:
      | reclaimable | onDemand | domains | required |
      | 9           | 0        | 3       | 6        |
      | 10          | 0        | 5       | 8        |
      | 4           | 0        | 1       | 4        |
      | 0           | 21       | 3       | 28       |
      | 0           | 0        | 3       | 0        |

  # Guards against computing the prompts of one session on several engines.
  Scenario: Hosts choose the same engine for a session without shared state
    When 200 sessions are placed by two hosts over 6 idle engines
    Then both hosts choose the same engine for each, and no engine gets more than 60 sessions

  # Guards against overloading the engine that has a busy session cached.
  Scenario: An idle engine is preferred to a loaded one that has the session cached
    Given an engine that has a session cached and 60,000 tokens waiting
    Then a request of the session goes to an idle engine

  # Guards against queueing requests that can't meet their deadline instead of refusing them at once with a retry delay.
  Scenario: Excess load is refused early and started requests meet their objective
    When prompts arrive at three times what an engine can compute for 20 s
    Then at least 90 percent of the started requests begin within their objective
    And every refusal is immediate and has a retry delay within the caller's deadline
    And the engine is busy for at least 75 percent of the time

  Scenario: Repeated reports of a process replace each other and a restarted process adds to them
    Given a ledger with windows of 5 s
    When a peer reports 3 requests, then 5, and after a restart 2
    Then the total of the window is 7

  # Guards against counting usage in the wrong window on hosts whose clocks are set forward or back.
  Scenario: Hosts agree on the time while some clocks are wrong
    Given 9 hosts that send each other their time every 200 ms
    When the clocks of 4 hosts are set 3000 ms forward at 2 s and 5000 ms back at 6 s for 10 s
    Then from 1 s on every host is within 20 ms of the true time

  # Guards against hosts that take the clock of the one host that they report to for the time.
  Scenario: Hosts that report through others agree on the time while some clocks are wrong
    Given 16 hosts of which 4 exchange their time and send the others the median every 200 ms
    When the clocks of 3 hosts are set 3000 ms forward at 2 s and 5000 ms back at 6 s for 10 s
    Then from 1 s on every host is within 20 ms of the true time

  # Guards against ordering too few endpoints in the first seconds of traffic or after a restart of all hosts.
  Scenario: Demand is measured correctly from the start of the load
    When work for 5 endpoints starts and is measured every 500 ms for 12 s
    Then from 3 s on the measured demand is between 4 and 6
    And no measurement is above 6

  # Guards against memory that is counted twice, or never given back, so that a host rejects answers that it has room for.
  Scenario: The memory of answers stays within its limits in 2000 seeded schedules
    Then in 2000 seeded schedules of 60 changes the memory held equals what the open answers hold and exceeds no limit

  # Guards against events that are cut, joined or read again where the pieces of a stream begin and end.
  Scenario: Events are read alike however their bytes are split
    Then 500 seeded streams give the same events in one piece and in pieces of any size
