Feature: Decisions of the ingress

  Scenario: The longest prefix of a path selects the route
    Given routes for "/a/", "/a/b/" and "/" of one host name
    Then "/a/b/c?x=/a/b/d/" goes to "/a/b/", "/a/bc" to "/a/", "/z" to "/" and another host name to none

  # Guards against a window that holds the limit twice because the hosts that were killed took their counts with them.
  Scenario: A customer's limit holds while all hosts are killed in the middle of a window
    Given 6 hosts that exchange their use every 150 ms
    When a customer asks for five times its limit for 24 s and all hosts are killed at 6 s and at 13 s
    Then no window of 8 s holds more than the limit with its tolerance
    And more than 60 percent of the limit is let through

  # Guards against both sides of a partition handing out the whole limit.
  Scenario: A customer's limit holds in a partition
    Given 6 hosts that exchange their use every 150 ms
    When a customer asks for five times its limit for 16 s and 3 hosts are cut off at 5 s
    Then no window of 8 s holds more than the limit with its tolerance

  Scenario: A request that was refused gives its use back
    Given a quota of 1 host
    When a customer takes its whole limit and gives it back
    Then it can take the limit again at once

  # Guards against retries of all hosts together exceeding what the services are promised.
  Scenario: Repeats stay within the budget of all hosts
    Given 9 hosts with a repeat budget of 0.2 and 58 in 10 s
    When every request fails and is repeated while the budget allows for 30 s
    Then no window of 10 s holds more repeats than the budget

  # Guards against all reclaimable endpoints standing in one failure domain, and against paying for dear ones needlessly.
  Scenario: A plan of endpoints survives the loss of a failure domain
    When plans are made for random limits, prices and loads
    Then the required endpoints remain after the loss of any failure domain, as far as the limits allow
    And endpoints that stay are planned only while fewer than the essential ones serve

  # Guards against standing without engines when two failure domains are reclaimed while no replacement is to be had.
  Scenario: Endpoints that stay are ordered when reclaimable ones are scarce, and when none serve at all
    Then with 3 reclaimable endpoints in each of two domains and scarcity, 4 essential ones lead to at least 1 that stays
    And with no endpoint serving, 4 essential ones lead to at least 4 that stay

  Scenario: What runs at the start is kept until the demand is known
    Given a requirement with a peak hold of 20 s
    When 9 endpoints are assumed at 0 s and the demand stays at 1
    Then 9 endpoints are required at 19 s and 4 at 21 s

  # Guards against a reserve that fits three failure domains only: with five, the same endpoints carry more load.
  Scenario Outline: Endpoints found at the start stand for the load that they are spread for
    Then <reclaimable> reclaimable and <onDemand> other endpoints in <domains> failure domains stand for <required> required ones

    Examples:
      | reclaimable | onDemand | domains | required |
      | 9           | 0        | 3       | 6        |
      | 10          | 0        | 5       | 8        |
      | 4           | 0        | 1       | 4        |
      | 0           | 21       | 3       | 28       |
      | 0           | 0        | 3       | 0        |

  # Guards against prompts of one session being computed at several engines.
  Scenario: Hosts without a common view choose the same engine for a session
    When 200 sessions are placed by two hosts over 6 idle engines
    Then both hosts choose the same engine for each, and no engine gets more than 60 sessions

  # Guards against a hot session piling up on the engine that has it cached.
  Scenario: A loaded engine is left for an idle one
    Given an engine that has a session cached and 60,000 tokens waiting
    Then a request of the session goes to an idle engine

  # Guards against holding requests that can't be in time: the caller learns at once when to come back.
  Scenario: An overload is refused early and what is started is in time
    When prompts arrive at three times what an engine can compute for 20 s
    Then at least 90 percent of the started requests begin within their objective
    And every refusal comes at once and with a time to come back within the caller's deadline
    And the engine is busy for at least 75 percent of the time

  Scenario: A host that took part in a window is counted once after its peers report late
    Given a ledger with windows of 5 s
    When a peer reports 3 requests, then 5, and a restarted run of it 2
    Then the total of the window is 7

  # Guards against usage windows that are counted at the wrong time by the hosts whose clocks are set forward or back.
  Scenario: Hosts agree on the time while some of their clocks are wrong
    Given 9 hosts that send each other their time every 200 ms
    When the clocks of 4 hosts are set 3000 ms forward at 2 s and 5000 ms back at 6 s for 10 s
    Then every host gives the time of the others within 20 ms from 1 s on

  # Guards against ordering too few endpoints in the first seconds of the traffic, or after all hosts were started again.
  Scenario: A load that has just begun is measured at its size
    When work for 5 endpoints begins and is measured every 500 ms for 12 s
    Then from 3 s on the measured demand is between 4 and 6
    And no measurement is above 6
