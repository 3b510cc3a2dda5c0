Feature: Kernel

  Scenario: Services stop in reverse order although one fails
    Given a kernel with the services "a", "b" and "c" where "b" fails to stop
    When the kernel starts and stops
    Then the services stopped in the order "c,b,a"

  Scenario: The virtual clock runs callbacks in order of their due time
    Given a virtual clock
    When callbacks are scheduled after 30, 10, 20 and 10 ms and the one after 20 ms is cancelled
    Then after 30 ms the callbacks ran in the order "1,3,0"
