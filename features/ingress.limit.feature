Feature: What endpoints in need say of themselves in their answers

  # Guards against an endpoint in need that gets the requests of all hosts although its answers name a limit.
  Scenario: An endpoint that names a limit in its answers is kept within it
    Given an ingress with a store stand-in and two engines of each service
    And engines of which the first names a limit of 1 request a second
    When a caller sends 10 requests a second for 9 s
    Then from 3 s after the limit was named no 4 s hold more than 11 requests to the first engine
    And all requests are answered

  # Guards against limits that hold at each host but not over all of them, in fleets of any size and at any limit.
  Scenario: On random days, all hosts together keep to a limit and use what it leaves
    When 40 random days are played on which an endpoint names a limit for a while
    Then from 3 s after it was named no 4 s hold more than one and a half times what it allows and 5 requests
    And at least a third of what it allows is used, or of what the hosts that share it have to send
    And hosts use the endpoint in full again within 3 s after an answer without it

  Scenario: A limit that is no positive decimal number is ignored
    Given an ingress with a store stand-in and two engines of each service
    Then an answer with the limit "0", "-1", "many" or "" names none and one with " 1.5 " names 1.5

  # Guards against requests to an endpoint that says in its answers that it leaves, while its entry in the store is unchanged.
  Scenario: An endpoint that says in its answers that it leaves gets no further requests
    Given an ingress with a store stand-in and two engines of each service
    And engines of which the first says in its answers that it leaves
    When a caller sends 20 requests a second for 4 s
    Then the first engine got no request later than 2000 ms after its first answer
    And all requests are answered

  # Guards against requests to an endpoint that has asked for a pause, also when no other endpoint is left.
  Scenario: An endpoint that turns requests away for a time gets at most 2 within it
    Given an ingress with a store stand-in and two engines of each service
    And engines that turn requests away with 503 for 3 s
    When a caller sends 20 requests a second for 3 s
    Then each engine got at most 2 requests from 500 ms after its first answer on
    And requests that no engine takes are rejected within 200 ms as not run
