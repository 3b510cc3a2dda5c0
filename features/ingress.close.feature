Feature: The end of a caller's connection

  # Guards against a reset that overtakes the rest of an answer, when the process ends while its caller still sends.
  Scenario Outline: An answer arrives whole when the process ends while its caller reads slowly and sends <what>
    Given a host process that answers with 600 KB
    When a caller reads slowly and sends <what> while the host is stopped
    Then the caller got the whole answer and the process ended within 4 s

    Examples:
      | what                                     |
      | nothing                                  |
      | the head of a next request in pieces     |
      | a next request after the answer was sent |

  # Guards against a refusal that is lost since its caller still sends the body.
  Scenario: A caller that still sends its body gets the refusal
    Given an ingress with a store stand-in and two engines of each service
    When a caller sends 1 MB of a body beyond the limit before it reads
    Then the caller got a 413 and the end of the connection

  # Guards against answers cut by the reset of a connection whose caller sends too far ahead.
  Scenario: Answers arrive whole at a caller that sends too many requests ahead and reads late
    Given an ingress with a store stand-in and two engines of each service
    And engines whose answers of 100 KB take 50 ms
    When a caller sends 1000 requests ahead of their answers and reads 600 ms later
    Then the caller got 8 whole answers and the end of the connection

  # Guards against requests that were read while the host stops and are dropped by the close after an earlier answer.
  Scenario: Requests sent ahead while the host stops are all answered
    Given an ingress with a store stand-in and two engines of each service
    And engines whose answers of 1 KB take 200 ms
    When the host is asked to stop and a caller sends 3 requests ahead of their answers
    Then the caller got 3 whole answers and the end of the connection

  # Guards against a request that runs though its connection is closed already, and whose answer nobody gets.
  Scenario: A request that a caller sends behind its last answer is not passed on
    Given an ingress with a store stand-in and two engines of each service
    And engines that stream 3 events, pause for 500 ms and stream 3 more
    When the host is asked to stop and a caller sends a request behind a "stream" that has begun
    Then the caller got the last event
    And the engines got 1 request

  # Guards against a stop that waits for callers which never close their side.
  Scenario: The process ends though a caller keeps its side of the connection open and sends on
    Given a host process that answers with 1 KB
    When a caller sends on without end while the host is stopped
    Then the caller got the whole answer and the process ended within 4 s

  # Guards against requests of other hosts that are taken while the last connections close, and cut by the end of the process.
  Scenario: A host that closes its callers' connections takes no requests of other hosts
    Given an ingress with a store stand-in and two engines of each service
    When the host is asked to stop and a caller keeps its side of an idle connection open
    Then it refuses all further requests as soon as it accepts no connections

  # Guards against a process that is killed before it has answered, since it counts its time from a signal that it handled late.
  Scenario: A request gets its answer before the time limit though the host handles the signal late
    Given a host process that does not answer
    When a caller waits for an answer and the host is stopped while its process is held up for 1500 ms
    Then the process ended within 4 s
    And the caller got a 502 and the end of the connection

  # Guards against a stop that is cut short though the signal was handled at once.
  Scenario: The bound on a signal's delay is close to the time for which the event loop was busy
    Then in 500 seeded series of turns a long wait of a signal is bounded, and by at most 200 ms more
