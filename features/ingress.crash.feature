Feature: Requests that crash endpoints behind the ingress

  # Guards against requests that share one part of their prompts and crash one endpoint after another.
  Scenario: Requests with a part that crashes endpoints are kept from them after five crashes
    Given an ingress with a store stand-in and two engines of each service
    And engines that crash for 250 ms when they begin to answer a request with the part "deadly"
    When callers send requests with and without that part for 7 s
    Then at most 3 requests with the part reached engines later than 3000 ms after the fifth crash
    And the requests without the part that were sent 1 s later than that were answered

  # Guards against crashes that nobody counts because the endpoint is back before this host's links are cleared of them.
  Scenario: A crash counts although the endpoint has started again before its cause is certain
    Given a monitor of crashes to which the cause of a failure is certain after 300 ms
    When an endpoint crashes with a request in progress and registers its next process after 100 ms
    Then the crash of its former process counts

  Scenario: The end of an endpoint that had announced it is no crash
    Given a monitor of crashes to which the cause of a failure is certain after 300 ms
    When an endpoint that leaves refuses connections with a request in progress
    Then no crash counts

  # Guards against endpoints that crash on and on while hosts know only of their own requests, in fleets of any size and at any rate.
  Scenario: On random days, requests that crash endpoints are kept from them soon after the fifth crash
    When 24 random days are played on which a part or a request crashes endpoints, beside other crashes and restarts of hosts
    Then on each day at most 3 such requests reached endpoints later than 3000 ms after the fifth crash
    And no other request was rejected

  Scenario: On random days, parts that turn deadly are kept from endpoints soon after the fifth crash
    When 24 random days are played on which a part that was sound before crashes endpoints, beside other crashes and restarts of hosts
    Then on each day at most 3 such requests reached endpoints later than 3000 ms after the fifth crash
    And no other request was rejected

  # Guards against rejecting requests for crashes with another cause, such as the loss of a failure domain.
  Scenario: On random days with crashes of other causes, no request is rejected
    When 24 random days are played on which no request crashes endpoints, beside other crashes and restarts of hosts
    Then no other request was rejected

  Scenario: Traits that all deadly requests share are rejected only together
    Given two hosts that exchange what they know of crashes
    When 4 endpoints crash in sequence while different requests with the parts "rare" and "deadly" are in progress
    Then both hosts reject a request with the parts "rare" and "deadly" and run one with the part "rare"

  Scenario: A request is accepted again when the cause of the crashes was mended
    Given two hosts that exchange what they know of crashes
    When 4 endpoints crash in sequence while different requests with the parts "rare" and "deadly" are in progress
    Then one host alone makes one trial after 10 minutes, and after 20 more minutes if that one crashes an endpoint
    And once a trial succeeds both hosts run requests with the parts "rare" and "deadly"

  Scenario: A host that restarts learns from its peers which requests to reject
    Given two hosts that exchange what they know of crashes
    When 4 endpoints crash in sequence while different requests with the parts "rare" and "deadly" are in progress
    And one host restarts
    Then both hosts reject a request with the parts "rare" and "deadly" and run one with the part "rare"
