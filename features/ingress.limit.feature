Feature: What endpoints in need say of themselves in their answers

  # Guards against an endpoint in need that gets the requests of all hosts although its answers name a limit.
  Scenario: An endpoint that names a limit in its answers is kept within it
    Given an ingress with a store stand-in and two engines of each service
    And engines of which the first names a limit of 1 request a second
    When a caller sends 10 requests a second for 9 s
    Then from 3 s after the limit was named no 4 s hold more than 11 requests to the first engine
    And all requests are answered
