Feature: Sound silences

  # Guards against hosts that take a pause of all endpoints for their end, and send them a slow start's trickle afterwards.
  Scenario Outline: A pause of all endpoints is no end of any
    When 6 hosts send <kind> requests to 4 endpoints that all pause for 1300 ms
    Then no host puts an endpoint in quarantine or sets back its slow start

    Examples:
      | kind       |
      | idempotent |
      | stream     |

  # Guards against requests that are sent to an endpoint which is gone though its connections are open.
  Scenario Outline: An endpoint that goes dark is found within 2.5 s
    When 6 hosts send <kind> requests to 4 endpoints of which one goes dark
    Then all hosts put it, and no other one, in quarantine within 2500 ms of its last sign
    And it gets no more than 100 of some 450 requests in the 5 s after

    Examples:
      | kind       |
      | idempotent |
      | stream     |

  # Guards against an ingress that doesn't tell its health record what it sent and heard.
  Scenario Outline: An ingress takes engines that <fault> for <what>
    Given an ingress with a store stand-in, two engines of each service and room for retries
    When callers send "idempotent" requests for 4 s, 2 s after their last ones, and after <after> ms <which> <fault>
    Then the ingress <finding>

    Examples:
      | after | which       | fault             | what   | finding                                                        |
      | 300   | all engines | pause for 1300 ms | sound  | sets back no engine                                            |
      | 0     | all engines | pause for 1300 ms | sound  | sets back no engine                                            |
      | 300   | one engine  | pause for 1300 ms | sound  | sets back no engine and uses both alike 500 ms after the pause |
      | 300   | one engine  | go dark           | failed | sets back one engine within 2500 ms                            |

  # Guards against an endpoint that takes requests on and on, since it is heard from though it ends no answer.
  Scenario: An endpoint that keeps sending without end is in quarantine after two answers that did not end in time
    Then an endpoint that was heard from and left 2 answers unfinished is in quarantine

  Scenario: An endpoint is in quarantine for silence only if no request showed a sign of life for longer than a sound pause
    Then in 2000 seeded series of requests, answers and silences of an endpoint this holds

  # Guards against streams that leave a sound endpoint, and are read once more elsewhere, for a pause.
  Scenario: A stream that has begun is not sent elsewhere for a sound pause
    Then in 1000 seeded routes a begun stream waits at least 1500 ms and a pause limit's time, others as long as before
