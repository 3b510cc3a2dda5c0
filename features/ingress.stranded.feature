Feature: Hosts that lose their links to endpoints

  # Guards against callers who keep getting failures from a host whose own links are cut.
  Scenario Outline: Callers of hosts that lost their links to all endpoints are served like others, with links that <fault>
    Given 6 hosts with links of their own to 6 engines in 3 failure domains
    And callers have pressed for 1500 ms
    When the links of the hosts 1, 2, 3 and 4 to all engines <fault> while callers press for 8000 ms
    Then first tries at these hosts later than 3000 ms after the cut are served at least two thirds as often as at the others
    And at most 10 + 1 in 50 of all first tries fail there
    And no request that may not be repeated has run twice

    Examples:
      | fault                |
      | hang                 |
      | are reset and hang   |
      | refuse new ones      |
      | accept and hang      |

  # Guards against treating a part of the endpoints as all of them or as none.
  Scenario: Callers are served while a host has lost its links to one failure domain
    Given 6 hosts with links of their own to 6 engines in 3 failure domains
    And callers have pressed for 1500 ms
    When the links of the hosts 1, 2, 3 and 4 to the engines of one failure domain hang while callers press for 6000 ms
    Then first tries at these hosts later than 3000 ms after the cut are served at least two thirds as often as at the others
    And at most 10 + 1 in 50 of all first tries fail there
    And no request that may not be repeated has run twice

  # Guards against sending callers to hosts that are known to be cut off, and against forgetting them afterwards.
  Scenario: A host that lost its links to all endpoints leaves the directory and comes back
    Given 6 hosts with links of their own to 6 engines in 3 failure domains
    And callers have pressed for 1500 ms
    When the links of the hosts 1 and 2 to all engines hang while callers press for 3000 ms
    Then no host's directory lists the hosts 1 and 2
    When the links are whole again and callers press for 6000 ms
    Then every host's directory lists all hosts
    And the last 60 requests are served

  # Guards against hosts that pass requests round to each other, or hold them until their time is over.
  Scenario: Requests are answered within their time while all hosts are cut off
    Given 3 hosts with links of their own to 3 engines in 3 failure domains
    And callers have pressed for 1500 ms
    When the links of the hosts 1, 2 and 3 to all engines hang while callers press for 5000 ms
    Then every request has an answer within 1700 ms
    And every host's directory lists all hosts
    When the links are whole again and callers press for 6000 ms
    Then the last 60 requests are served

  # Guards against taking a pause of sound endpoints for a cut.
  Scenario: Hosts stay in the directory while all endpoints pause
    Given 6 hosts with links of their own to 6 engines in 3 failure domains
    And callers have pressed for 1500 ms
    When all engines pause for 1300 ms while callers press for 4000 ms
    Then every host's directory has listed all hosts all the time
    And the last 60 requests are served
