Feature: Limits for callers

  # Guards against transfers that end though there is room, or in an order that costs those who are nearly done.
  Scenario: The transfer that is furthest from its end yields, and none while there is room
    Then in 500 seeded series of transfers the budget ends the slowest ones and only when memory is short

  Scenario: The connection that was idle the longest makes room, before any with a request
    Then in 500 seeded series of connections the one that was idle the longest is named

  Scenario: A body in pieces of any size takes little more memory than its bytes
    Then 200 seeded bodies are joined as they were sent and hold at most 40 KB more than their bytes

  # Guards against limits that ordinary requests meet.
  Scenario Outline: A connection that sends <what> gets <answers>
    Given an ingress with a store stand-in and two engines of each service
    When a connection sends <what>
    Then it gets <answers>

    Examples:
      | what                                             | answers                                          |
      | 3 requests ahead of their answers                | 3 answers in order and stays open                |
      | 40 requests ahead of their answers               | 8 answers in order and is closed                 |
      | one request in chunks of one byte                | 1 answer in order and stays open                 |
      | one request that asks for an upgrade             | 1 answer in order and stays open                 |
      | the head of a request with a body over the limit | a 413 and is closed                              |
      | chunks beyond the limit                          | a 413 and is closed                              |
