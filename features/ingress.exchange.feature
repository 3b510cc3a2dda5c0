Feature: What hosts of a large fleet tell each other

  # Guards against an exchange that costs each host by the size of the fleet until late hosts lose requests and configurations.
  Scenario Outline: The calls that a host makes and answers don't grow with the fleet
    Given a simulated fleet of <hosts> hosts that all serve
    When the simulated fleet has run for 4 s
    Then in the next 4 s its hosts make or answer at most 12 calls a second on average, and none more than 100

    Examples:
      | hosts |
      | 24    |
      | 73    |
      | 195   |

  # Guards against aggregators that change with the load, or that are lost together with a failure domain.
  Scenario: Aggregators are few, spread over the failure domains and the same however many hosts serve
    Then in 300 random fleets the aggregators are at most the square root of the hosts and 3 more, of as many domains as there are
    And they come first in every larger serving set too, and hosts to which none of them responds add the same next ones

  # Guards against use that is missed or counted twice because it goes through another host.
  Scenario Outline: Use reaches all hosts through few of them and counts once
    Given a simulated fleet of <hosts> hosts that all serve
    When the simulated fleet has run for 4 s
    And each of 5 hosts begins a request at an endpoint
    Then all hosts count the 5 requests within <within> ms and no more for 3 s

    Examples:
      | hosts | within |
      | 16    | 1500   |
      | 73    | 1500   |
      | 195   | 2000   |

  # Guards against hosts that know of nobody once the hosts that they reported to are gone.
  Scenario: Use reaches all hosts after any loss and return of hosts
    Then in 8 seeded series of losses and returns in fleets of 16 to 73 hosts, all live hosts name the same hosts and count use once 10 s later

  # Guards against hosts that all admit the remainder of a limit before they hear of each other.
  Scenario Outline: A customer's limit holds through surges
    Given a simulated fleet of <hosts> hosts that all serve
    When the simulated fleet has run for 4 s
    And a customer asks the simulated fleet for five times its limit for 16 s while <fault>
    Then no window of 8 s holds more than the limit with its tolerance
    And more than <percent> percent of the limit is let through

    Examples:
      | hosts | fault                              | percent |
      | 16    | nothing fails                      | 60      |
      | 24    | nothing fails                      | 60      |
      | 24    | a third of the hosts is cut off    | 50      |
      | 73    | nothing fails                      | 60      |
      | 73    | a third of the hosts is cut off    | 50      |
      | 73    | half of the aggregators is cut off | 50      |

  # Guards against usage reports that lack the requests of hosts that report through others.
  Scenario Outline: The duty holder knows what all hosts have counted
    Given a simulated fleet of <hosts> hosts that all serve, whose host "<holder>" holds the duties
    When the simulated fleet has run for 4 s
    And each host counts 3 requests
    Then the duty holder counts them all within 1500 ms, also after half of the aggregators are lost

    Examples:
      | hosts | holder  |
      | 24    | edge-1  |
      | 24    | edge-20 |
      | 73    | edge-50 |

  # Guards against use that is missed while a fleet is upgraded.
  Scenario: Hosts of a version that doesn't report through others count use once
    Given a simulated fleet of 24 hosts that all serve, one of them of an older version
    When the simulated fleet has run for 4 s
    And each of 5 hosts begins a request at an endpoint
    Then all hosts count the 5 requests within 1500 ms and no more for 3 s
