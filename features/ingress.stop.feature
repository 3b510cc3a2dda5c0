Feature: Requests in a planned stop

  # Guards against running a request that may not be repeated and cutting it when the process exits.
  Scenario: A request that may not be repeated is rejected if its time limit is beyond the stop
    Given an ingress with a store stand-in and two engines of each service
    When the host is asked to stop and a caller sends a "slowOrder" request 200 ms later
    Then it is answered with 503 as not run within 300 ms and no engine got it

  Scenario: A request that may not be repeated is served if it ends before the stop in any case
    Given an ingress with a store stand-in and two engines of each service
    When the host is asked to stop and a caller sends a "nonIdempotent" request 200 ms later
    Then it is answered with 200

  # Guards against streams of an unknown length, of which nothing was measured.
  Scenario: A long stream is rejected until the durations of its route are known
    Given an ingress with a store stand-in and two engines of each service
    And engines that stream 5 events
    When the host is asked to stop and a caller sends a "slowStream" request 200 ms later
    Then it is answered with 503 as not run within 300 ms and no engine got it

  Scenario: A stream is served if streams of its route are short
    Given an ingress with a store stand-in and two engines of each service
    And engines that stream 5 events
    And a caller has had 3 "slowStream" responses
    When the host is asked to stop and a caller sends a "slowStream" request 200 ms later
    Then it is answered with 200

  # Guards against a connection that ends without an answer at the end of the stop.
  Scenario: A request in progress when the process has to exit is answered
    Given an ingress with a store stand-in and two engines of each service
    And engines that do not answer
    When a caller sends a "slowOrder" request and the host is asked to stop
    Then it is answered with 502 before the stop ends

  # Guards against one more attempt that can't end, and against admission by means.
  Scenario: What is admitted ends before the stop
    Then in 2000 random stops no request that may not be repeated is admitted with a time limit beyond the stop
    And a repeatable one is admitted if it probably ends in time, including its wait for an endpoint

  # Guards against giving up a sound endpoint for a pause when no other endpoint may take the rest of its stream any more.
  Scenario: A stream whose endpoint pauses while the host stops is whole
    Given an ingress with a store stand-in and two engines of each service
    And engines that stream 3 events, pause for 1800 ms and stream 3 more
    When a caller sends a "slowStream" request and the host is asked to stop
    Then it is answered with 200
    And its body has the events 1 to 6

  # Guards against cutting a stream for its caller's next request, which is then refused.
  Scenario: A stream goes on if its caller comes back for it and is refused since the host stops
    Given an ingress with a store stand-in and two engines of each service
    And engines that stream 3 events, pause for 500 ms and stream 3 more
    When a caller takes up its "slowStream" while it goes on and the host stops
    Then the caller's second request is answered with 503
    And it is answered with 200
    And its body has the events 1 to 6

  # Guards against replacing an endpoint's own answer by a failure of this host.
  Scenario: The failure of an endpoint is passed on if no other endpoint may take the request
    Given an ingress with a store stand-in and two engines of each service
    And engines that answer 500 after 300 ms
    When a caller sends a "slowLookup" request and the host is asked to stop
    Then it is answered with 500
    And its body is that of the endpoint

  Scenario: No attempt is given up before the next one is certain
    Then in 3000 random requests none is cut while its endpoint is sound
    And a silent endpoint is replaced whenever another one may take the request
