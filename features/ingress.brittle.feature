Feature: Brittle endpoints, which fall over when they reject too many requests within a second

  # Guards against hosts that press endpoints beyond their room, so that these fall over again and again.
  Scenario: On random days, brittle endpoints hardly fall and their room is used
    When 16 random days are played on which endpoints are brittle and callers press beyond their room
    Then without keeping to the room, endpoints fall more often than 2 and a tenth of their number on at least 12 days
    And keeping to it, they don't on any day
    And at least 80 percent of the room is used on days on which hosts have room for 4 requests and more each, 55 on the others
    And from 2 s after the endpoints are no longer brittle at least 85 percent is used

  # Guards against shares that two hosts use at once when callers or hosts come and go.
  Scenario: Endpoints hardly fall when hosts start and freeze, callers change hosts and reports are lost
    When 12 random days are played on which hosts start and freeze, callers come late or change hosts and reports are lost
    Then keeping to it, they don't on any day

  # Guards against a host that is slower with endpoints that say nothing of being brittle.
  Scenario: Endpoints that aren't brittle are used as before
    When days are played on which endpoints aren't brittle, with and without keeping to the room
    Then both are the same

  # Guards against an order of reports in which hosts end with different shares.
  Scenario: Hosts agree on shares however reports arrive
    When 200 random sequences of answers at 3 hosts are reported in two orders, some twice
    Then hosts know the same after both
    And their shares of an endpoint add up to its capacity at most

  # Guards against shares that are used before the others have made room, after a rejection, or while an endpoint is about to fall.
  Scenario: A host waits before it uses its share, after a rejection, and while an endpoint has rejected nearly too many
    Given a host that has known for 20 s of a brittle endpoint with room for 8 requests, which one other host uses
    When the host has its first requests, 10 a second
    Then it has no share for 900 ms, and one of 4 after 1100 ms
    And after a rejection it has none for 900 ms, and one again after 1100 ms
    And when the other host reports 8 of 10 rejections it has none for 900 ms, and one again after 1100 ms
    And 5 s after the other host's last request it has a share of 8
    And ten callers that it refuses at once are told ten times that differ by half and more

  Scenario: What an answer says of the room of its endpoint
    Then "Server-Brittle" of " 3 " names 3 rejections, and "0", "-1", "some" and "" can't be used
    And these answers say that the endpoint is full:
      | status | headers                                         | isFull |
      | 503    | X-Filbertrelay-Not-Executed: 1                  | yes    |
      | 429    |                                                 | yes    |
      | 503    |                                                 | no     |
      | 503    | X-Filbertrelay-Not-Executed: 1, Retry-After: 2  | no     |
      | 503    | X-Filbertrelay-Not-Executed: 1, Server-Leaving: 1 | no   |
      | 421    |                                                 | no     |
      | 504    |                                                 | no     |

  # Guards against a decision that no host asks.
  Scenario: Three hosts keep brittle engines from falling
    Given three hosts and two brittle engines with room for 6 requests each, of which 2 may be rejected within a second
    When callers press at 3 times the room for 9 s
    Then the engines fall at most 2 times from 3 s on, and at least 70 percent of their room is used
    And refused callers get 503 as not run at once, with different times to come back
