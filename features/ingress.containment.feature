Feature: Errors of a host that concern one unit of work

  # Guards against a fault of this host in one request that ends the process with all the others.
  Scenario Outline: An error while <step> ends its request alone
    Given an ingress with a store stand-in and two engines of each service
    And the host fails while <step> of requests that ask for it
    When a request that asks for it and 5 others are sent at once to "<route>"
    Then the others are answered in full
    And the one that failed <outcome>

    Examples:
      | step                      | route         | outcome           |
      | reading a request         | nonIdempotent | gets no answer    |
      | forwarding the head       | nonIdempotent | gets 503          |
      | reading the answer's head | nonIdempotent | gets 502          |
      | reading the answer's head | stream        | gets 502          |

  # Guards against one entry whose reading fails and ends the process, or keeps the host from following the store.
  Scenario: An error while reading an entry leaves the other entries in effect
    Given an ingress with a store stand-in and two engines of each service
    And the host fails while reading the entry "broken"
    When the entry "broken" is written and then a route is added
    Then a request on the added route is answered with 200
