Feature: Questionnaire

  Scenario: The answers of both users generate valid configurations
    Guards against examples that drift from the schema and against keys that match no hash.
    Given the answers of "chaulage" and "salal"
    Then each generates a configuration that the schema accepts
    And each plain key of the examples matches exactly one hash of its customer

  Scenario: Generation depends on nothing but the answers
    Guards against a digest that differs between two operators who submit the same answers.
    Given 200 generated answers with seed 4101
    Then each is accepted, generates a valid configuration and the same digest in any order of its lists

  Scenario: Malformed answers never crash the check
    Guards against an exception in place of a list of faults.
    Given 300 damaged answers with seed 4102
    Then each check ends with accepted answers or with faults that have a path and a message

  Scenario: Every fault is listed with its path
    Guards against operators who correct one fault per attempt.
    Given answers with a wrong type, an unknown caller, a duplicate customer and an unknown key
    Then the faults name these paths
      | failureDomains.0        |
      | customers.0.caller      |
      | customers.1.name        |
      | models.0                |

  Scenario: A difference names exactly the changed values
    Guards against a loser of two submissions who is told the wrong change.
    Given 100 pairs of generated configurations with seed 4103
    Then applying the listed differences to the first gives the second
    And a configuration has no difference to itself

  Scenario: The number of shards changes only with a new generation
    Guards against keys that move to another shard while their entries stay in the old one.
    Given answers whose write budget rises from 50 to 400 writes a second
    Then the change is refused in the same generation and accepted in the next

  Scenario: A damaged head is refused
    Guards against a configuration that was changed after its digest was taken.
    Given a stored head whose weights were changed
    Then it is refused because of its digest
