Feature: Streams and the software versions of endpoints

  # Guards against one response that two versions wrote.
  Scenario: A stream that has begun does not go on at another software version
    Given an ingress with engines of the versions "v1" and "v2"
    And engines of version "v1" that break off after the second event
    When a caller sends streams until one has begun at version "v1"
    Then the response ends after two events without its end, within 300 ms of them
    And no engine of version "v2" got a part of it

  Scenario: A request without an event may be sent to an endpoint of any version
    Given an ingress with engines of the versions "v1" and "v2"
    And engines of version "v1" that break off before any event
    When a caller sends 6 streams
    Then all of them are complete
