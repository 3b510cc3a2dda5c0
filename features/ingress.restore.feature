Feature: A store that is restored from an older copy

  # Guards against hosts that ignore the restored store, because its revisions are lower than those that they have seen.
  Scenario: Changes after a restore of the store are applied
    Given an ingress with a store stand-in and two engines of each service
    When the store loses 8 changes in a restore and a route is added
    Then the added route is served within 2000 ms

  # Guards against listings and watches without a pause while the revisions of the store are lower than those of a host.
  Scenario: A host makes few calls to a restored store
    Given an ingress with a store stand-in and two engines of each service
    When the store loses 8 changes in a restore and a route is added
    Then the host makes at most 15 calls to the store within 2000 ms

  # Guards against requests to an endpoint that had said that it leaves, because the restored copy does not know that yet.
  Scenario: An endpoint that is known to be leaving stays unused after a restore
    Given an ingress with a store stand-in and two engines of each service
    And a copy of the store
    When the first engine is registered as draining
    And the store is restored from the copy
    And a caller sends 6 "idempotent" requests one after the other
    Then only the second engine received them

  # Guards against requests to an endpoint whose removal the restored copy does not know yet.
  Scenario: An endpoint that is known to be gone stays unused after a restore
    Given an ingress with a store stand-in and two engines of each service
    And a copy of the store
    When the first engine's entries are removed
    And the store is restored from the copy
    And a caller sends 6 "idempotent" requests one after the other
    Then only the second engine received them

  # Guards against dropping endpoints that registered in the lost span and have not registered again yet.
  Scenario: An endpoint that the restored store lacks stays in use until it has had time to register again
    Given an ingress with a store stand-in and two engines of each service
    And a copy of the store without the second engine
    When the store is restored from the copy
    Then requests reach both engines for at least 1500 ms and only the first one after 3500 ms

  # Guards against an older configuration on a host that started after the restore.
  Scenario: A host that starts after a restore learns from its peers what the store has lost
    Given a host that knows a configuration and a leaving endpoint that the restored store has lost
    When another host starts and hears from it
    Then the other host has the newer configuration and knows that the endpoint leaves

  # Guards against renewing a lease that belongs to another host since the restore.
  Scenario: A host registers again under a new lease after a restore
    Given an ingress with a store stand-in and two engines of each service
    When the store is restored from a copy that was made before the host registered and its lease id is given to another host
    Then the host's entry is back under a lease of its own within 1500 ms

  # Guards against two holders with the same fencing token, and two at once.
  Scenario: A duty holder after a restore has a higher fencing token than all before
    Given two hosts that contend for the duties
    And a copy of the store
    When the duties change hands twice
    And the store is restored from the copy
    Then the next fencing token is higher than all before and never two hosts hold the duties

  # Guards against two different usage reports for one window.
  Scenario: A new duty holder repeats the counts that a restore has lost
    Given a usage reporter that has reported a window and a copy of the store from before
    When the store is restored from the copy and another host with different counts takes over the duties
    Then no window was reported with different counts

  Scenario: Conditional changes, leases and responses of an earlier era have no effect
    Given a store that is restored between two calls of a client
    Then a commit that relies on the earlier era fails without a call
    And a lease of the earlier era counts as ended without a call
    And a response of the earlier era counts as no response

  # Guards against values that a restore has brought back or that stay for good.
  Scenario: After a restore what owners know takes precedence, and at last the store
    Then in 2000 schedules of restores no host uses an endpoint whose leaving it knew, and all hosts agree in the end

  # Guards against two holders with one token and against a holder that acts beside another.
  Scenario: Terms of the duties stay ordered over restores
    Then in 2000 schedules of restores no two holders have the same fencing token or act at the same time

  # Guards against different reports of one window in any order of restores and holders.
  Scenario: Final counts survive restores
    Then in 2000 schedules of restores no window is reported with different counts
