Feature: Odd entries in the store

  # Guards against an entry of another writer that ends the process of each host that reads it.
  Scenario Outline: An entry with <oddity> names no endpoint and leaves the host running
    Given an ingress with a store stand-in and two engines of each service
    When another writer puts an entry with <oddity> beside the engines
    And a caller sends 12 "idempotent" requests one after the other
    Then every request is answered with 200
    And the entry with <oddity> names no endpoint

    Examples:
      | oddity                 |
      | port 80800             |
      | port 0                 |
      | no port                |
      | a part above 255       |
      | a name as address      |
      | an infinite capacity   |
      | a sequence of 1e300    |
      | a fractional sequence  |
      | a start time of 1e300  |
      | a line end in its id   |
      | a letter beyond ASCII in its id |

  # Guards against settings that pass the check and then end the process when it listens or connects.
  Scenario: Settings with an address that can't be used are rejected with their path
    Then settings with "10.0.0.5:80800" or "10.0.0.256:7700" as the store's address are rejected at "store.address"

  # Guards against peers that are registered under an address that no host can connect to.
  Scenario: A registration of a host with a port out of range is skipped
    Given an ingress with a store stand-in and two engines of each service
    When a host registers with port 80800
    And a caller sends 4 "idempotent" requests one after the other
    Then every request is answered with 200
    And the directory lists one address

  # Guards against a name that ends the header which tells it to endpoints, and against requests that are counted for another customer.
  Scenario: A customer's name beyond Latin-1 reaches endpoints in UTF-8
    Then the customer "Ċafé 東" is told to endpoints as one header in UTF-8
    And a configuration with a line end in a customer's name is rejected

  # Guards against entries whose reading or passing on keeps hosts from their work, however often they are written.
  Scenario Outline: A host reads and keeps no more of <value> than shows that it names no endpoint
    Then <value> names no endpoint, takes no effect when written again and is not kept if it is long

    Examples:
      | value                            |
      | an entry of 500000 levels        |
      | an entry of 40 levels            |
      | a sound entry with a long model  |

  # Guards against a watch that fails for ever, since the next one asks for the same changes and more.
  Scenario: A host follows the store after more was written at once than a response may hold
    Given an ingress with a store stand-in and two engines of each service
    When another writer writes 6 entries of 1000000 bytes at once and then a route is added
    Then a request on the added route is answered with 200

  Scenario: The levels of 2000 arbitrary JSON texts are counted as they are
    Then of 2000 seeded JSON values those within the bounds are parsed and no others
