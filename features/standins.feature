Feature: Stand-ins

  # Guards against a stand-in that breaks its own protocol page, on which every other process test rests.
  Scenario Outline: The stand-in of the <kind> keeps the rules of its protocol page
    Given a stand-in "subject" of kind "<kind>" with options "<options>"
    When the conformance check of kind "<kind>" runs on "subject" with "<claims>"
    Then the check passes <rules> rules and exits with 0

    Examples:
      | kind          | options                                          | claims                                               | rules |
      | key-value     |                                                  |                                                      | 12    |
      | cloud         |                                                  |                                                      | 10    |
      | weight-store  | --default-bytes 5000000                          |                                                      | 4     |
      | model-engine  | --check-fencing                                  | --with-orders --checks-fencing                       | 11    |
      | model-engine  | --check-fencing --timing steps                   | --with-orders --checks-fencing                       | 11    |
      | plain-service | --deduplicate --answers-status --check-fencing   | --deduplicates --answers-status --checks-fencing     | 5     |
      | fault-proxy   |                                                  |                                                      | 5     |

  # Guards against a host list whose entries the clients would refuse.
  Scenario: The stand-in of the host list keeps the rules of its protocol page
    Given a stand-in "cloud" of kind "cloud" with options ""
    And a paused process on the host "entry-1" of the failure domain "a"
    And a stand-in "list" of kind "host-list" with options "--cloud-url URL:cloud --lag-ms 0 --poll-ms 20"
    And the host list shows "entry-1" as "live"
    When the conformance check of kind "host-list" runs on "list" with ""
    Then the check passes 3 rules and exits with 0

  # Guards against a conformance check that can't fail.
  Scenario Outline: The conformance check reports an implementation that <fault>
    Given a stand-in "original" of kind "<kind>" with options "<options>"
    And "broken" is "original" behind a relay that <fault>
    When the conformance check of kind "<kind>" runs on "broken" with "--rules <rule> <claims>"
    Then the check reports rule "<rule>" as broken and exits with 1

    Examples:
      | kind          | options          | claims         | fault                        | rule |
      | key-value     |                  |                | ignores the expected version | K1   |
      | key-value     |                  |                | forgets every second write   | K4   |
      | cloud         |                  |                | shows hosts as running       | C3   |
      | model-engine  |                  |                | repeats an offset            | E1   |
      | model-engine  |                  |                | mixes up request ids         | E2   |
      | plain-service |                  |                | mixes up request ids         | P1   |
      | plain-service | --answers-status | --deduplicates | passes everything            | P3   |

  # Guards against a "terminated" state that is shown while a paused process could still resume and run.
  Scenario: A host is terminated only after its process is gone
    Given a stand-in "cloud" of kind "cloud" with options ""
    And a paused process on the host "entry-1" of the failure domain "a"
    When the host "entry-1" is terminated through the cloud client
    Then the process of "entry-1" runs no more and the cloud shows the host as terminated

  # Guards against a reclaim that spares hosts of its failure domain or hits others.
  Scenario: A failure domain is reclaimed with notice
    Given a stand-in "cloud" of kind "cloud" with options ""
    And a paused process on the host "entry-1" of the failure domain "a"
    And a paused process on the host "entry-2" of the failure domain "a"
    And a paused process on the host "entry-3" of the failure domain "b"
    When the failure domain "a" is reclaimed with 300 ms of notice
    Then notices come for "entry-1,entry-2" and these hosts are terminated
    And the host "entry-3" is still running

  # Guards against refusals that start a host all the same, or that never end.
  Scenario: Starts are refused and a repeated start gives one host
    Given a stand-in "cloud" of kind "cloud" with options ""
    And the cloud refuses the next 2 starts in the failure domain "a"
    Then starts in the failure domains "a,b,a,a" end with "cloud.refused,started,cloud.refused,started"
    And starting twice with one request id gives one host

  # Guards against a host list that is accidentally exact.
  Scenario: The host list lags behind the cloud
    Given a stand-in "cloud" of kind "cloud" with options ""
    And a stand-in "list" of kind "host-list" with options "--cloud-url URL:cloud --lag-ms 100 --poll-ms 20"
    And a paused process on the host "entry-1" of the failure domain "a"
    And the host list shows "entry-1" as "live"
    When the host list is frozen and the failure domain "a" is reclaimed with 60000 ms of notice
    Then the host list still shows "entry-1" as "live"
    And the host list shows "entry-1" as "leaving" after it is thawed

  # Guards against a lost acknowledgement that is taken for a write that had no effect.
  Scenario: A write takes effect although its reply is lost
    Given a stand-in "store" of kind "key-value" with options ""
    When the next 1 replies of "store" are lost
    Then a write of "token-1" ends with "keyValue.unavailable"
    And the stored value is "token-1"

  # Guards against an outage that is taken for an absent key or a conflict.
  Scenario Outline: Calls during an outage of kind "<outage>" are unavailable
    Given a stand-in "store" of kind "key-value" with options ""
    When "store" has the outage "<outage>"
    Then reading, writing, watching and renewing end with "keyValue.unavailable"
    And after the outage a write succeeds

    Examples:
      | outage |
      | down   |
      | hang   |
      | slow   |

  # Guards against a rate limit that is not enforced, or a waiting watch that is not counted.
  Scenario: Calls above the rate limit are throttled and all calls are counted by kind
    Given a stand-in "store" of kind "key-value" with options "--reads-per-second 1 --writes-per-second 1"
    When 10 reads and 10 writes are sent at once
    Then some of them end with "keyValue.throttled" and the counts agree with the others
    And a watch that waits is counted as one call

  # Guards against crashes that other processes can't tell from a lost connection.
  Scenario: A prompt with the crash marker ends the engine
    Given a stand-in "engine" of kind "model-engine" with options "--crash-marker POISON --token-interval-ms 50"
    When a long answer is in progress at "engine" and a prompt with "POISON" is sent
    Then both streams end with "endpoint.crashed" and the process of "engine" exited with 1

  # Guards against engines that all check fencing tokens, so that the planner's care would never be tested.
  Scenario Outline: An engine with the options "<options>" answers a stale order with <outcome>
    Given a stand-in "engine" of kind "model-engine" with options "<options>"
    When orders with the fencing tokens 5 and 4 are sent
    Then the second order ends with "<outcome>" and token <token> is in effect

    Examples:
      | options         | outcome             | token |
      | --check-fencing | endpoint.staleOrder | 5     |
      |                 | ok                  | 4     |

  # Guards against requests that run on an engine while it loads another model.
  Scenario: An engine refuses requests while it loads weights from the store
    Given a stand-in "weights" of kind "weight-store" with options "--default-bytes 1000000 --bytes-per-second 1000"
    And a stand-in "engine" of kind "model-engine" with options "--model small --weight-store-url URL:weights"
    When an order for the model "large" is sent
    Then a request for "small" ends with "endpoint.refused" and executed "no"
    And after the weight store gets faster a request for "large" is answered

  # Guards against routing that hashes prompt blocks differently from the engines that announce them.
  Scenario: The engine and the routing policy give the same block hashes
    Then the block hashes of 200 random chats agree

  # Guards against recomputation after a KV cache was moved.
  Scenario: A moved KV cache spares the prefill
    Given a stand-in "engine" of kind "model-engine" with options ""
    And a stand-in "other" of kind "model-engine" with options ""
    When an answer at "engine" is moved to "other" and continued there
    Then the answer is complete and no token was computed again

  # Guards against load reports that are exact or never change.
  Scenario: Load reports and cache events come late and with gaps
    Given a stand-in "engine" of kind "model-engine" with options "--load-lag-ms 400 --cache-event-gap-every 3 --token-interval-ms 20"
    When a long answer is in progress at "engine"
    Then load reports show it and are at least 400 ms old
    And every third cache event is missing

  # Guards against a batch that ignores priorities.
  Scenario Outline: Waiting requests start in order of priority with the timing <timing>
    Given a stand-in "engine" of kind "model-engine" with options "--batch-slots 1 --token-interval-ms 5 --timing <timing>"
    When requests with the priorities "5,9,1,3" are sent while the only slot is in use
    Then their first tokens come in the order "1,3,5,9"

    Examples:
      | timing   |
      | interval |
      | steps    |
