Feature: Requests to an endpoint through another host

  Background:
    Given the hosts "alder" and "birch" and an engine that "birch" reaches

  # Guards against an answer that is changed on its way.
  Scenario Outline: An answer arrives as on a direct connection
    Given an engine that answers with <answer>
    When "alder" sends a request to the engine directly and another one through "birch"
    Then both gave the same head, body and end

    Examples:
      | answer                                |
      | a short answer                        |
      | an answer of 900000 bytes             |
      | an empty answer                       |
      | a chunked stream                      |
      | a body without a length               |
      | an error of its own                   |
      | a refusal                             |
      | bytes behind its answer               |
      | a reset before its answer             |
      | a reset within its answer             |
      | an orderly close within its answer    |
      | bytes that are no answer              |
      | a head with bytes above ASCII         |

  Scenario: The engine gets the same request on both ways
    Given an engine that answers with a short answer
    When "alder" sends a request of 700000 bytes to the engine directly and another one through "birch"
    Then the engine got the same request twice

  # Guards against an event that waits for the next one.
  Scenario: Each event of a stream arrives promptly and in order
    Given an engine that sends 20 events, one every 25 ms
    When "alder" sends a request through "birch"
    Then all 20 events arrive in order, each within 60 ms

  # Guards against the answer to an earlier request being taken for this one's.
  Scenario: A late duplicate on the connection of the other host is skipped
    Given an engine that repeats each answer before the next one
    When "alder" sends 6 requests through "birch" one after the other
    Then each got its own answer, and all but the first came on a connection that was in use before

  # Guards against an engine that goes on working for nobody.
  Scenario Outline: The engine's connection is closed when nobody waits any longer
    Given an engine that sends a head and no more
    When "alder" sends a request through "birch"
    And <event>
    Then the engine's connection is closed within 100 ms
    And "birch" has no request of another host

    Examples:
      | event                             |
      | "alder" cancels the request       |
      | "alder" is lost                   |
      | "birch" stops at the end          |
      | the time of the request is over   |

  # Guards against the connection of another request being closed.
  Scenario: A request that has ended leaves the engine's connection alone
    Given an engine that answers with a short answer
    When "alder" sends a request through "birch" and cancels it after its end
    Then the next request through "birch" uses the same connection

  Scenario: An answer that waits for its caller leaves the engine's connection alone
    Given an engine that sends 150 pieces of 1000 bytes
    When "alder" does not read its answer through "birch" until the engine has sent all of it
    And the engine's connection carries another request and the first one is cancelled
    Then the other request gets its answer

  # Guards against a request that is lost because a host takes what it can't send on.
  Scenario Outline: A host that can't relay refuses, and nothing is sent
    Given a host "birch" that <state>
    When "alder" sends a request through "birch"
    Then the request fails as refused with "<refusal>" and unsent
    And the engine got no request

    Examples:
      | state                                  | refusal         |
      | stops                                  | stopping        |
      | is cut off from the engine             | unreachable     |
      | does not know the engine               | unknownEndpoint |
      | knows another process of the engine    | unknownEndpoint |
      | reads that the engine leaves           | leaving         |
      | was told that the engine leaves        | leaving         |
      | was asked for a pause by the engine    | leaving         |
      | has no memory                          | full            |

  Scenario: A host that is full refuses until a request has ended
    Given a host "birch" with room for 2 requests
    And an engine that sends a head and no more
    When "alder" sends 3 requests through "birch"
    Then the last one fails as refused with "full" and unsent
    And "alder" pauses "birch" for at most 100 ms and counts 2 requests there
    And a request through "birch" is taken once one of the others is cancelled

  Scenario: A host that stops ends what it has taken
    Given an engine that sends 10 events, one every 20 ms
    When "alder" sends a request through "birch"
    And "birch" takes no further requests
    Then all 10 events arrive in order, each within 60 ms

  # Guards against a request that may not be repeated being run twice.
  Scenario Outline: A request counts as sent when its relay is lost, unless it certainly was not
    Given an engine that <behaviour>
    When "alder" sends a request through "birch" and <event>
    Then the request fails with "<reason>", <sent>, and the trouble is <trouble>

    Examples:
      | behaviour                       | event                                         | reason      | sent   | trouble        |
      | never answers                   | "birch" is lost once the engine has it        | reset       | sent   | the relay's    |
      | sends a head and no more        | "birch" is lost once the engine has it        | reset       | sent   | the relay's    |
      | never answers                   | "birch" was lost before                       | unreachable | unsent | the relay's    |
      | never answers                   | "birch" does not accept its connection        | unreachable | unsent | the relay's    |
      | never answers                   | "birch" stops at the end once the engine has it | reset     | sent   | the relay's    |
      | accepts no connections          | nothing else happens                          | unreachable | unsent | the endpoint's |
      | resets each request             | nothing else happens                          | reset       | sent   | the endpoint's |

  # Guards against a slow caller that fills the memory of two hosts and holds up what goes beside it.
  Scenario: A caller that does not read holds up its own answer only
    Given an engine whose answers have 20000000 bytes
    When "alder" sends 4 requests through "birch" and reads only their heads
    Then within 500 ms "alder" and "birch" hold no more than the window and a few frames of each
    And another request through "birch" is answered within 250 ms, and a call beside it within 100 ms
    And the whole answers arrive when "alder" reads on

  Scenario: Large answers in full flow do not hold up reports
    Given an engine whose answers have 20000000 bytes
    When "alder" sends 4 requests through "birch"
    Then calls to "birch" are answered within 100 ms until the answers have ended

  Scenario: What goes through another host is the beginning of what the engine sent, with one end
    Then requests through another host keep their promises in 150 random schedules

  # Guards against a request that goes round all hosts, once for each endpoint, with its body.
  Scenario: A request that no other host can send on is refused after a few of them
    When a request finds no way to 20 endpoints through 30 hosts that refuse it
    Then it was sent to at most 8 hosts

  # Guards against a host that has no time left because it compares all hosts for each endpoint of each request.
  Scenario: The way of a request is chosen by a look at each other host
    When the way of a request to one of 100 endpoints through one of 80 hosts is chosen
    Then each host's load was looked at once

  # Guards against orders of endpoints for work that no endpoint has got.
  Scenario: A request that went to several hosts in vain counts once as demand
    When a request with a prompt finds no way to 20 endpoints through 30 hosts that refuse it
    Then its prompt counted as demand once
