Feature: Telemetry

  # Guards against hops that are missing from a trace and against metrics that are declared but never sent.
  Scenario: A request's hops share one trace and its counters reach the collector
    Given a fleet of 2 daemons that sends spans and metrics to collectors
    When a caller sends a model request and an idempotent call within one trace
    Then the spans "entry" and "endpoint attempt" arrive with the caller's trace id
    And the metric "filbertrelay.requests.accepted" arrives
    And no collected span or metric holds the customer's key
