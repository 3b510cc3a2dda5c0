Feature: Silent endpoints

  # Guards against cutting a stream because the next endpoint refuses it, when the one that was given up would go on.
  Scenario: A stream goes on at the endpoint that paused if the next one refuses it
    Given an ingress with a store stand-in and two engines of each service
    And engines that stream 5 events
    And a caller has had 60 "stream" responses
    And engines of which the first pauses within a stream and the next refuses it
    When a caller sends a "slowStream" request
    Then it is answered with 200
    And its body has the events 1 to 6

  # Guards against taking a caller that reads slowly for an endpoint that is silent.
  Scenario: A stream is not sent to another endpoint while its caller does not read
    Given an ingress that passes events on within 2 ms
    And engines that stream 1500 events of 8 KB
    When a caller sends a "slowStream" request and reads 2500 ms later
    Then the engines got 1 request
    And the caller got each event once
