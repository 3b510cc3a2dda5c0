Feature: Long responses of the store

  # Guards against a host that asks for the same bytes again and again, because a response takes longer than a silent store is waited for.
  Scenario Outline: A response is read to its end while its bytes keep coming
    Given a store whose responses arrive in <pieces> pieces, <gapMs> ms apart
    Then a <call> by a client that waits 1000 ms for a silent store brings 400000 bytes

    Examples:
      | pieces | gapMs | call    |
      | 20     | 100   | listing |
      | 20     | 100   | watch   |
      | 4      | 500   | listing |

  # Guards against a long poll that is given up because its head comes at once and its body at the end of the wait.
  Scenario: A watch whose head comes before its body is waited for
    Given a store that sends the head of a response at once and its body 2000 ms later
    Then a watch by a client that waits 1000 ms for a silent store brings 400000 bytes

  # Guards against a host that never takes over a shard, because the list of its keys takes longer than a silent service is waited for.
  Scenario: A list of the key-value service is read to its end while its bytes keep coming
    Given a key-value service whose responses arrive in 20 pieces, 100 ms apart
    Then a list by a client that waits 1000 ms for a silent service brings 400000 bytes

  # Guards against a host that waits for a dead connection, or for a byte now and then.
  Scenario Outline: A response whose bytes don't keep coming is given up
    Given a store whose responses <fault>
    Then a listing by a client that waits 300 ms for a silent store fails within 3000 ms

    Examples:
      | fault                                 |
      | stop in the middle                    |
      | arrive a byte at a time, 100 ms apart |

  # Guards against limits that depend on the length of a response instead of its progress.
  Scenario: A response is dead when it is silent, or slower than the lowest rate, and not before
    Then in 500 random transfers no response counts as dead before a silence or a rate that is too low, and each does after

  # Guards against hosts that stay behind a configuration that changes faster than it is transferred, since a watch brings each version.
  Scenario Outline: A host keeps up with a long configuration that changes often
    Then in <storms> random storms with up to <cuts> cuts a host that must apply a change within 2000 ms applies each version in time

    Examples:
      | storms | cuts |
      | 60     | 0    |
      | 40     | 2    |

  # Guards against a host of a small share of a processor that is busy with configurations which are replaced already.
  Scenario: Of the configurations that come together only the newest is read
    Given a host that read the store and its configuration
    When a watch brings 12 versions of the configuration and 3 of an endpoint
    Then it has read 1 configuration since, version 12, and 3 entries of the endpoint

  # Guards against a host that never gets a long copy from a peer, since each call for it takes as long as the one before.
  Scenario: A host that can't read the store gets any copy that a peer may send
    Then each of 500 random copies of up to 8388608 bytes comes over a link of 875 bytes a ms or more within 5 calls
