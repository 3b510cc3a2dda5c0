@alone
Feature: Callers beyond the limits

  # Guards against callers that exhaust the memory or the descriptors of a host, so that its process ends or nobody else is served.
  Scenario Outline: A host outlives callers that send <kind>
    Given a host process with 200 MB of memory and 500 descriptors before an engine
    When 80 connections at the "<address>" address send <kind>
    Then the process lives and has held at most 200 MB and 500 descriptors
    And one ordinary request is answered

    Examples:
      | kind                                 | address   |
      | large chunks without the last one    | callers   |
      | chunks of one byte                   | callers   |
      | a body announced far over the limit  | callers   |
      | a body sent far over the limit       | callers   |
      | chunks without end                   | callers   |
      | a body short of one byte             | callers   |
      | heads without end                    | callers   |
      | requests sent ahead                  | callers   |
      | readiness checks sent ahead          | readiness |
      | lookups sent ahead                   | directory |
      | metrics requests sent ahead          | metrics   |

  Scenario: An ordinary request is answered in calm
    Given a host process with 200 MB of memory and 500 descriptors before an engine
    When 1 connections at the "callers" address send nothing
    Then the process lives and has held at most 200 MB and 500 descriptors
    And one ordinary request is answered

  # Guards against connections that leave none for the host itself.
  Scenario: A host outlives callers that open more connections than it may have descriptors
    Given a host process with 200 MB of memory and 500 descriptors before an engine
    When 700 connections at the "callers" address send nothing
    Then the process lives and has held at most 200 MB and 500 descriptors
    And one ordinary request is answered
