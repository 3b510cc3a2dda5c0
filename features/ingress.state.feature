Feature: State of an ingress host

  # Guards against sending requests to an engine that has announced that it is leaving.
  Scenario: A leaving engine gets no new requests
    Given an ingress with a store stand-in and two engines of each service
    When the first engine is registered as draining
    And a caller sends 6 "idempotent" requests one after the other
    Then only the second engine received them

  Scenario: Invalid store entries are skipped one by one
    Given an ingress with a store stand-in and two engines of each service
    When malformed entries and entries with wrong fields are written beside the engines
    And a caller sends 4 "idempotent" requests one after the other
    Then every request is answered with 200

  # Guards against a host that misses all changes after the store has dropped the history that its watch needs.
  Scenario: A host lists the store again when the watch history is gone
    Given an ingress with a store stand-in and two engines of each service
    When the store drops its history and a route is added
    Then a request on the added route is answered with 200

  # Guards against using an engine that left while the store dropped its history.
  Scenario: An engine that was removed while the history was dropped is no longer used
    Given an ingress with a store stand-in and two engines of each service
    When 3 s have passed
    And the first engine's entries are removed together with the history while watches deliver nothing
    And a caller sends 4 "idempotent" requests one after the other
    Then only the second engine received them

  # Guards against dropping entries that expired in an outage, which a standby host notices only through its peers.
  Scenario: A standby host keeps expired entries for a while after an outage of the store
    Given the store mirror of a standby host
    Then it has no grace period after its peers reported nothing about the store for 1 s
    And it has a grace period after its peers reported nothing about the store for 3 s

  # Guards against dropping entries that are rewritten after an outage, and against using engines that have left.
  Scenario: Entries that expired in an outage of the store stay in use for a limited time
    Given the mirror of a store that did not respond for 6 s
    Then an entry that is removed when the store responds again has a grace period of between 1 s and 1.5 s
    And an entry that is removed 2.4 s later has no grace period

  # Guards against going back to an older configuration.
  Scenario: A configuration with a lower version is not applied
    Given an ingress with a store stand-in and two engines of each service
    When a configuration with a lower version and without routes is written
    Then a request on a known route is answered with 200

  # Guards against serving nothing during an outage of the store.
  Scenario: Requests are served while the store does not respond
    Given an ingress with a store stand-in and two engines of each service
    When the store does not respond for 1 s
    Then 5 requests are answered with 200

  Scenario: The directory lists the host and readiness follows the configuration
    Given an ingress with a store stand-in and two engines of each service
    Then the directory lists the host's address and the host is ready

  # Guards against two different reports of one window after a change of the duty holder.
  Scenario: A new duty holder reports the counts that the former one stored
    Given a usage reporter whose report gets no response
    When another host with different counts takes over the duties
    Then both sent the same counts for the same window

  # Guards against paying for endpoints that are not scaled while the first host waits for a former holder that never existed.
  Scenario: In a new installation the duty lease is acquired at once, later only after the pause
    Given a host with a pause of 3 s and an empty store
    Then it holds the duties after at least 0 ms and at most 1500 ms
    When the host crashes and starts again
    Then it holds the duties after at least 2900 ms and at most 6000 ms

  # Guards against two duty holders at once, and against a holder that acts after a pause.
  Scenario: Only one host holds the duties, and a paused holder stops acting
    Given two hosts that contend for the duties
    Then exactly one of them holds the duties
    And after the holder was paused for longer than its lease the other host holds them with a higher fencing token
    And the paused host does not act when it resumes

  # Guards against refusing or aborting requests in a planned stop.
  Scenario: A stopping host finishes requests in progress and leaves the directory
    Given an ingress with a store stand-in and two engines of each service
    And engines that answer after 400 ms
    When the host is asked to stop while a request is in progress
    Then the request is answered with 200
    And the host is not ready and its entry in the store is gone

  # Guards against exiting at once on a second stop signal, which aborted the responses in progress.
  Scenario: A host that is asked to stop twice finishes requests in progress
    Given an ingress with a store stand-in and two engines of each service
    And engines that answer after 400 ms
    When the host is asked to stop while a request is in progress
    And the host is asked to stop again
    Then neither stop ends before the request is answered with 200
