Feature: Hosts that are late themselves

  # Guards against hosts that take their own lateness for a fault of endpoints, peers or the store.
  Scenario Outline: What arrived in time counts, though the host was too busy to read it before its timer ran out
    Given an endpoint, a peer and a store that answer within 100 ms
    When the host is busy for 1000 ms while it waits for <answer>
    Then the answer counts

    Examples:
      | answer                             |
      | an endpoint to accept a connection |
      | an address to accept a connection  |
      | a status probe to be accepted      |
      | the answer to a status probe       |
      | the reply of a peer                |
      | the answer of the store            |
      | the answer of a plain service      |

  # Guards against timers that judge before the input of their turn was read.
  Scenario: A timer that judges others runs out only after the input that was there before it
    Then in 40 seeded series of busy turns no wait ends before input that came in time, and each ends in the turn after its time
