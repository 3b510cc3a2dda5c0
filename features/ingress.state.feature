Feature: State of an ingress host

  # Guards against sending requests to an engine that has said that it leaves.
  Scenario: An engine that leaves gets no new request
    Given an ingress with a store stand-in and two engines of each service
    When the first engine is written as draining
    And a caller sends 6 "idempotent" requests one after the other
    Then only the second engine got them

  Scenario: Entries of foreign writers are left out one by one
    Given an ingress with a store stand-in and two engines of each service
    When entries that can't be read and entries with wrong fields are written beside the engines
    And a caller sends 4 "idempotent" requests one after the other
    Then every request is answered with 200

  # Guards against a host that never notices a change after its watch has lost the history.
  Scenario: A host reads the store anew when its history is gone
    Given an ingress with a store stand-in and two engines of each service
    When the store forgets its history and a route is added
    Then a request on the added route is answered with 200

  # Guards against keeping an engine in use that left while the store dropped its history.
  Scenario: An engine that is gone when the history was dropped is not used any more
    Given an ingress with a store stand-in and two engines of each service
    When 3 s have passed
    And the first engine's entries vanish together with the history while watches are quiet
    And a caller sends 4 "idempotent" requests one after the other
    Then only the second engine got them

  # Guards against dropping entries that only lapsed: a host that leaves the watch to others sees the outage only by its peers.
  Scenario: A host that leaves the watch to others keeps lapsed entries for a while after an outage
    Given a copy of a store that a host leaves to others to watch
    Then it has no grace after its peers were silent about the store for 1 s
    And it has a grace after its peers were silent about the store for 3 s

  # Guards against both sides of the grace after an outage: entries that come back, and engines that really left.
  Scenario: Entries that vanished in an outage stay in use for a moment and no longer
    Given a copy of a store that was silent for 6 s
    Then an entry that vanishes when the store returns may come back for between 1 s and 1.5 s
    And an entry that vanishes 2.4 s later may not

  # Guards against going back to an older configuration.
  Scenario: A configuration with a lower version is not applied
    Given an ingress with a store stand-in and two engines of each service
    When a configuration with a lower version and without routes is written
    Then a request on a known route is answered with 200

  # Guards against serving nothing while the store is away.
  Scenario: Requests are served while the store does not answer
    Given an ingress with a store stand-in and two engines of each service
    When the store falls silent for 1 s
    Then 5 requests are answered with 200

  Scenario: The directory names the host and readiness follows the configuration
    Given an ingress with a store stand-in and two engines of each service
    Then the directory names the host's address and the host is ready

  # Guards against two different reports of one window after a change of the holder.
  Scenario: A later holder repeats the counts that the former one stored
    Given a usage duty whose report gets no answer
    When another host with other counts takes the duties over
    Then both sent the same counts for the same window

  # Guards against two holders at once, and against a holder that was paused.
  # Guards against paying for endpoints that nobody plans while the first host waits for a holder that never was.
  Scenario: In a new installation the duties are taken at once, later only after the pause
    Given a host with a pause of 3 s beside an empty store
    Then it holds the duties after at least 0 ms and at most 1500 ms
    When the host ends without a word and starts again
    Then it holds the duties after at least 2900 ms and at most 6000 ms

  Scenario: One host holds the duties, and a paused one stops acting
    Given two hosts that contend for the duties
    Then exactly one of them holds the duties
    And after the holder was paused for longer than its lease the other one holds them with a higher number
    And the paused one does not act when it wakes up

  # Guards against shutting out requests or cutting them off at a planned stop.
  Scenario: A stopping host finishes what is in progress and leaves the directory
    Given an ingress with a store stand-in and two engines of each service
    And engines that answer after 400 ms
    When the host is asked to stop while a request is in progress
    Then the request is answered with 200
    And the host is not ready and its entry in the store is gone

  # Guards against ending at once when a second signal asks for the same stop, which cut the answers in progress.
  Scenario: A host that is asked to stop twice finishes what is in progress
    Given an ingress with a store stand-in and two engines of each service
    And engines that answer after 400 ms
    When the host is asked to stop while a request is in progress
    And the host is asked to stop again
    Then neither stop ends before the request is answered with 200
