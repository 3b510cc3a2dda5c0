Feature: Telemetry

  # Guards against hops that are missing from a trace and metrics that are declared but never sent.
  Scenario: A request's hops share one trace and its counters reach the collector
    Given a fleet of 2 daemons that sends spans and metrics to collectors
    When a caller sends a model request, an idempotent call and a booking within one trace
    Then the spans "entry" and "endpoint attempt" of 3 requests and "owner" of 1 arrive with the caller's trace id
    And the metric "filbertrelay.requests.accepted" arrives
    And no collected span or metric contains the customer's key
