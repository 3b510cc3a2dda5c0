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
