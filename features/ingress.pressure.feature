Feature: A host under more load than it carries

  # Guards against refusals while there is room.
  Scenario: Nothing is refused in calm
    When 8 hosts get 0.4 times the load that they carry for 30 s
    Then no caller is refused

  # Guards against a collapse: hosts that spend their time on requests whose callers have left.
  Scenario Outline: Callers get what the room allows under any load
    When 8 hosts get <load> times the load that they carry for 30 s
    Then callers get at least 90 percent of the answers that the room allows within their objective
    And the more urgent a request is, the likelier it is answered, and no kind of request is given up

    Examples:
      | load |
      | 1    |
      | 2    |
      | 4    |

  # Shows that the played load makes hosts without admission collapse.
  Scenario: Hosts that take all requests collapse
    When 8 hosts that take all requests get 2 times the load that they carry for 30 s
    Then callers get less than 10 percent of the answers that the room allows within their objective

  Scenario: Refusals end with the load
    When 8 hosts get 0.4 times the load that they carry for 30 s, and twice what they carry from 10 s to 15 s
    Then no caller that comes more than 1000 ms after the load is refused

  # Guards against the hosts that are left going down one after the other.
  Scenario: Half of the hosts are lost
    When 8 hosts get 0.7 times the load that they carry for 30 s, and only 4 of them are left from 10 s
    Then callers get at least 90 percent of the answers that the room allows within their objective

  # Guards against a crowd that keeps the hosts busy with its return.
  Scenario: All callers return at once
    When 8 hosts get 0.4 times the load that they carry for 30 s, and 400 callers come within 100 ms at 10 s
    Then no caller that comes more than 3000 ms after the load is refused

  Scenario: Refused callers come back at different times
    When 8 hosts get 0.4 times the load that they carry for 30 s, and 400 callers come within 100 ms at 10 s
    Then no fifth of the span in which refused callers come back has more than half of them
    And no caller is asked to wait for more than a third of the time that it has left

  Scenario: Callers repeat at once
    When 8 hosts get 2 times the load that they carry for 30 s from callers that don't wait
    Then callers get at least 90 percent of the answers that the room allows within their objective

  # Guards against a slow host that keeps its callers instead of sending them to the others.
  Scenario: A host turns slow
    When 8 hosts get 0.5 times the load that they carry for 30 s, and one of them is 5 times slower from 10 s
    Then callers get at least 90 percent of the answers that the room allows within their objective

  # Guards against a serving set that stays small because full hosts read, and count, fewer requests.
  Scenario: All hosts serve when the serving hosts are full
    Given 22 hosts of 0.12 processors in 3 failure domains, a quarter of which serve
    When the serving hosts are full for 3 s and have counted a request each 500 ms
    Then all hosts are in the serving set

  # Guards against refusals that cost as much as answers.
  Scenario: A full host logs its refusals once a second
    When a host whose turns last 100 ms gets a request each 5 ms for 4 s
    Then it refuses some of them with 503 and a Retry-After
    And it logs once that it is full and at most 4 lines about its refusals
    And its callers' work is counted as at least its whole processor

  # Guards against an error in the gate, which runs outside of any request, that ends the process.
  Scenario: An error in the gate ends neither the process nor the request
    When an error occurs while a full host describes requests
    Then the errors are counted and logged, and no request is refused
