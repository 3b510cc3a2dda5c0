Feature: Slow start of endpoints

  # Guards against all hosts sending to an endpoint that has just started before they hear of each other's requests.
  Scenario: An endpoint with a cold cache is neither flooded nor left idle
    When 20 hosts with news of 400 ms share 6 engines at 80 percent load and 1 starts, first 3 times slower
    Then with slow start at most half as many of its answers are late as without, and no more anywhere
    And it has at most 8 requests in its first second, and half of the usual share within 3 s

  Scenario: An endpoint that ends at once takes few requests with it
    When 20 hosts with news of 1000 ms share 6 engines at 100 percent load and 1 starts for 400 ms
    Then with slow start at most half as many requests are lost as without

  # Guards against requests that queue at the busy endpoints because those that start are at their pace.
  Scenario: Endpoints that start together are used at once when the others are overloaded
    When 20 hosts with news of 400 ms share 2 engines at 250 percent load and 4 start, first 1 times slower
    Then with slow start the engines that start answer at least 90 percent of the requests that they answer without

  Scenario: The only endpoint left takes all requests while it starts
    When 20 hosts with news of 1000 ms share 0 engines at 80 percent load and 1 starts, first 1 times slower
    Then with slow start the engines that start answer at least 100 percent of the requests that they answer without

  # Guards against an order of reports in which hosts end with different windows.
  Scenario: Hosts agree on a window however reports arrive
    When two hosts learn of late and early answers of an endpoint and exchange their reports in either order
    Then both have the same window

  Scenario: A late answer shrinks the window, a failure starts it anew and an endpoint without callers opens by itself
    Given a host whose endpoint of capacity 16 starts
    Then its window is 2 at first, 4 after 2 early answers, 2 after a late one, 2 after a failure and open 4 s later

  # Guards against herds: hosts that hear of each other's requests late find the same endpoint idle.
  Scenario: Requests of one moment are spread over equal endpoints
    When 60 hosts place a request each on 30 idle engines without news of each other
    Then no engine gets more than 8 of them
