Feature: Runs of endpoints

  # Guards against a stream of an endpoint that has restarted with other software, under an entry that is older than the restart.
  Scenario: A stream of an endpoint that has restarted before its entry says so goes on nowhere else
    Given an ingress with engines of the versions "v1" and "v1"
    When the first engine crashes while streams are sent and comes back with version "v2", whose streams break off
    And a caller sends a stream that begins at version "v2"
    Then its answer holds events of "v2" only and is not complete
    And it is rejected as not run when its caller takes it up

  # Guards against a refusal that hosts keep alive by telling it to each other, so that no stream of the endpoint is ever taken up.
  Scenario: A refusal that hosts tell each other is over in time
    Then two hosts that exchange a refusal every 200 ms, 100 ms late, know the run again after 1700 ms

  # Guards against streams that are bound to the version of an earlier run, in any order of crashes, outages of the store and reports.
  Scenario: Answers are bound to the version of the process that wrote them
    Then in 3000 schedules of crashes, releases and outages of the store no answer is taken for that of another version
    And answers of endpoints that have not crashed are never of an unknown version
