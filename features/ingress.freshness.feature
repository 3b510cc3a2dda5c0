Feature: How old a copy of the store counts

  # Guards against a host that trusts an outdated copy because the store has answered that its history is gone.
  Scenario: A dropped history does not make an outdated copy count as current
    Given a host that read the store
    When its watch finds after 300 ms that the history is gone, and a listing takes 200 ms
    Then its copy counts as 500 ms old

  # Guards against a host that trusts a copy as of the arrival of changes that may have waited on the way.
  Scenario: A watch that brings changes confirms the copy as of its call
    Given a host that read the store
    When its watch brings a change after 300 ms
    Then its copy counts as 300 ms old

  Scenario: A watch that brings nothing confirms the copy as of the end of its wait
    Given a host that read the store
    When its watch brings nothing after 1800 ms
    Then its copy counts as 300 ms old

  # Guards against a whole fleet that turns to the store at once, and late, when no watching host reaches it.
  Scenario: The reserve turns to the store before the other hosts
    Given hosts that rely on peers for changes that they must apply within 1000 ms
    When their peers report nothing
    Then the reserve host watches the store after 600 ms and the standby host after 750 ms

  # Guards against a host that calls a store without pause while each listing meets a dropped history.
  Scenario: A host pauses between listings that the store can't complete
    Given a host whose listings find that the history is gone
    Then it makes at most 20 listings in 1000 ms

  # Guards against all items being sent to the whole fleet by each host that starts.
  Scenario: A host that has just started is not asked for all items while the copy is young
    Given a host that relies on peers for changes that it must apply within 1000 ms
    When a peer that can only send all items reports newer changes after 400 ms and after 600 ms
    Then it asks the peer once, after 600 ms

  # Guards against hosts that count as heard from recently because a report was reused.
  Scenario: The ages in a report grow while the rest of it is reused
    Given a host that exchanges with peers
    When another host reports to it and it answers two reports 70 ms apart
    Then the second answer says that the other host was heard from 70 ms ago

  # Guards against hosts that count as heard from recently because a reply was late.
  Scenario: The ages in a late reply count from the call
    Given a host that exchanges with peers
    When a peer's reply that names a host heard from just now takes 150 ms
    Then the host says that the named host was heard from 150 ms ago

  # Guards against an old serving set that counts as new because a reply was late.
  Scenario: The age of the serving set in a late reply counts from the call
    Given a host outside of the serving set
    When the reply with the serving set takes 300 ms
    Then the host says that the set is 300 ms old

  # Guards against reports that pile up at a host that is late already.
  Scenario: A peer that replies late gets one report at a time
    Given a host that exchanges with peers
    When 1100 ms pass without a reply of a peer
    Then the peer was sent 1 reports
    When the peer replies and 250 ms pass
    Then the peer was sent 2 reports

  # Guards against news that wait for the next interval because an older report was on its way.
  Scenario: An announcement follows a report that is on its way
    Given a host that exchanges with peers
    When something urgent becomes known and the peer replies 50 ms later
    Then the peer was sent 2 reports
