Feature: Kernel

  Scenario: Services stop in reverse order even if one fails to stop
    Given a kernel with the services "a", "b" and "c" where "b" fails to stop
    When the kernel starts and stops
    Then the services stopped in the order "c,b,a"

  Scenario: The virtual clock runs callbacks in order of their due time
    Given a virtual clock
    When callbacks are scheduled after 30, 10, 20 and 10 ms and the one after 20 ms is cancelled
    Then after 30 ms the callbacks ran in the order "1,3,0"

  # Guards against a flood of one event hiding others or consuming the process's CPU time.
  Scenario: Lines of an event above its rate limit are counted instead of written
    Given an event log limited to 3 lines per event and second
    When 10 lines of one event and 2 of another are written within a second, and one of each in the next
    Then 3 and 2 lines are written, then a line that counts 7, then one of each

  # Guards against a process blocked in a synchronous write because nobody reads its log.
  Scenario: A log reader that stops reading does not block the process
    Given a process that writes 20 MB of log lines to a pipe that nobody reads
    Then the process ends by itself within 20 s
