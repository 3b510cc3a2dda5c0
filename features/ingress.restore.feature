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

  # Guards against renewing a lease that belongs to another host since the restore.
  Scenario: A host registers again under a new lease after a restore
    Given an ingress with a store stand-in and two engines of each service
    When the store is restored from a copy that was made before the host registered and its lease id is given to another host
    Then the host's entry is back under a lease of its own within 1500 ms

  Scenario: Conditional changes, leases and responses of an earlier era have no effect
    Given a store that is restored between two calls of a client
    Then a commit that relies on the earlier era fails without a call
    And a lease of the earlier era counts as ended without a call
    And a response of the earlier era counts as no response
