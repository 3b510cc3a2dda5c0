Feature: Copies of the store

  # Guards against a host that says it is at a revision without holding what the store held there, or that counts as fresher than it is.
  Scenario: A copy of the store never claims more than it holds
    Then 400 schedules of changes, watches, listings, reports, pushes, fetches, losses, restores and restarts keep every copy exact

  # Guards against a host that ends because it keeps many versions of one long value.
  Scenario: A copy keeps one version of each value, however often it changes
    Given a copy of a store with an item of 900000 characters and 30 short ones
    When the long item changes 1000 times
    Then what the copy keeps for others has at most 1000000 characters
    And a copy from before these changes gets the newest version of it

  # Guards against an endpoint that stays unused, or used, on the one host that saw a change which others have seen undone.
  Scenario: A change that was undone before a listing is undone on the host that saw it
    Then a host that saw an item change takes back the change from a host that never saw it

  # Guards against requests to an endpoint that has left, sent by a host that advanced past the removal.
  Scenario: A host that has listed the store does not hide a removal from its peers
    Given a host that has read the store and leaves the watch to others
    When an item is removed and another host starts and reports to it
    Then the item is gone from the first host within 2000 ms

  # Guards against the same loss when the host asks the other one for the changes since its own revision.
  Scenario: A host that has listed the store does not send a history without the removals before it
    Given a host that has read the store and leaves the watch to others
    When an item is removed and another host starts
    Then its changes since the revision of the first host say that the item is gone

  # Guards against changes that wait for several reports because the watching hosts had to list the store.
  Scenario: What a watching host learns by a listing is passed on at once
    Given a host that has read the store and leaves the watch to others
    And a host that watches the store for it
    When an item is removed together with the history while watches deliver nothing
    Then the item is gone from the first host within 1000 ms

  # Guards against a host that doesn't watch the store because an old report counts from its arrival.
  Scenario: A report that may have waited does not confirm a copy
    Given a host that has read the store and leaves the watch to others
    When a report of unknown age says that its revision is the latest
    Then its copy is as old as before

  # Guards against ages that leave out the time on the way, on slow links and in front of paused processes.
  Scenario: The time at which a message was written is bounded by an echo
    Then in 1000 exchanges with random delays and restarts no message counts as written later than it was

  # Guards against listings that mix states of the store, which later changes don't repair.
  Scenario: A listing of several pages holds what the store held at one revision
    Given a store that is changed between the pages of a listing
    Then its listing holds the items of one revision

  # Guards against losing all hosts that watch the store with one failure domain.
  Scenario: The hosts that watch the store stand in different failure domains
    Then the first 3 watching hosts of random fleets stand in as many failure domains as possible

  # Guards against hosts that take a long value from one peer, all at once, over a link that carries it to one of them in time.
  Scenario: A long value comes from the store and not from a peer
    Given a host that has read the store and leaves the watch to others
    And a host that watches the store for it
    When an item of 300000 characters is written and the watching host reports it
    Then the first host has the item within 3000 ms
    And the watching host has sent it at most 100000 bytes

  # Guards against a host that asks a peer for the same long value again and again, because it takes longer than a peer is waited for.
  Scenario: A host that can't read the store gets a long value from a peer, however long it takes
    Given a host that has read the store and leaves the watch to others
    And a host that watches the store for it, which it reaches at 200 bytes a ms
    When the first host can't reach the store any longer
    And an item of 300000 characters is written and the watching host reports it again and again
    Then the first host has the item within 10000 ms

  # Guards against a fleet that turns to a few hosts for long values after an outage, since each host has failed to read the store once.
  Scenario: A host that could not read the store for a while takes long values from it again
    Given a host that has read the store and leaves the watch to others
    And a host that watches the store for it
    When the first host can't reach the store for 500 ms while it reads it
    And 2500 ms later an item of 300000 characters is written and the watching host reports it again and again
    Then the first host has the item within 5000 ms
    And the watching host has sent it at most 100000 bytes

  # Guards against a host that asks for long disputed items again and again, all calls taking as long as the one before.
  Scenario: A host gets long disputed items from a peer, however long that takes
    Given a host that has read the store and leaves the watch to others
    And a host that watches the store for it, which it reaches at 200 bytes a ms
    When the watching host disputes an item of 300000 characters and reports it again and again
    Then the first host knows of the dispute within 10000 ms
