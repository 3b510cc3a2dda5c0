Feature: Servers in trouble

  Background:
    Given an ingress with a store stand-in and two engines of each service

  # Guards against a second copy of a refusal, late on a connection that is in use again: the next request would be sent to another
  # engine although this one runs it.
  Scenario: A late refusal that names no request does not say that the next request was not run
    Given engines whose refusal of one request arrives a second time before the answer to the next
    When a caller sends 4 "nonIdempotent" requests one after the other
    Then no request ran twice and none that ran was called not run

  # Guards against a sound stream that is cut off because it pauses while no repeat is left in the budget.
  Scenario: A slow stream goes on when it can't be moved to another engine
    Given an ingress whose budget of repeats is used up
    And engines that send 4 events 1100 ms apart
    When a caller sends a "slowStream" request with the body "order"
    Then the caller gets the events 1 to 4 once each in order and a complete answer

  # Guards against a stalled engine that holds a caller by comments or parts of an event now and then.
  Scenario Outline: A stalled stream that sends <bytes> now and then is moved to another engine
    Given engines of which the first sends <bytes> every 200 ms behind its second event
    When a caller sends a "slowStream" request with the body "order"
    Then the caller gets the events 1 to 5 once each in order and a complete answer

    Examples:
      | bytes             |
      | comments          |
      | parts of an event |

  # Guards against memory that a server in trouble fills, and against callers that wait for the end of bytes without end.
  Scenario Outline: An engine that sends <bytes> without end is left, and the caller learns that the request may have run
    Given engines that send <bytes> without end
    When a caller sends a "nonIdempotent" request with the body "order"
    Then the caller gets 502 and the request ran once
    And the engine's connection is closed within half a second
    And the host has used less than 64 MB more

    Examples:
      | bytes             |
      | a head line       |
      | head lines        |
      | a body            |
      | a chunk extension |
      | trailers          |

  # Guards against callers whose body never ends and who never get an answer.
  Scenario: A caller that sends a body without end gets 413 and is closed
    When a caller sends a "nonIdempotent" request whose body never ends
    Then it gets 413 within 1000 ms and its connection is closed

  # Guards against requests that are accepted during a stop and then cut off at its end.
  Scenario: A stopping host takes no request that could last beyond its end
    Given engines that answer after 1600 ms
    When a caller sends a "slowOrder" request with the body "order"
    And the host is asked to stop and requests are sent every 50 ms until it refuses
    Then every request that was not refused is answered before the host has stopped

  # Guards against a host that takes another call's answer for the right to act.
  Scenario: A late second copy of a store's answer does not make a refused change look accepted
    Given a store that sends each answer again when the next call comes on its connection
    When a change is accepted and a second one conflicts with it
    Then the second change is not accepted
    And a lease that has ended is not renewed, whatever was answered before

  # Guards against memory that a store in trouble fills.
  Scenario: A store that sends bodies without end is left
    Given a store that sends bodies without end
    When a host reads it
    Then the read fails within 2000 ms
    And the host has used less than 64 MB more

  # Guards against orders of two holders at once around a hand-over: one released while its order is under way, one whose connection
  # opens after its lease.
  Scenario: Duties are handed over only when no call of the former holder can arrive any more
    Given a holder of the duties whose order takes 600 ms
    When it releases the duties while the order is under way
    Then the duties become free only after the order has ended
    And an order that is begun late in the lease is given up before the lease ends
