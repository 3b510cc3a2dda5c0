Feature: Questionnaire

  Scenario: Both example questionnaires generate valid configurations
    Guards against examples that drift from the schema and against keys that match no hash.
    Given the answers of "chaulage" and "salal"
    Then each generates a configuration that the schema accepts
    And each plain key of the examples matches exactly one hash of its customer

  Scenario: The generated configuration does not depend on the order of the answers
    Guards against a digest that differs between two operators who submit the same answers.
    Given 200 generated answers with seed 4101
    Then each is accepted and generates a valid configuration with the same digest for any order of lists and keys

  Scenario: Checking malformed answers never throws
    Guards against an exception instead of a list of errors.
    Given 300 corrupted answers with seed 4102
    Then each check accepts the answers or reports errors with a path and a message

  Scenario: All errors are reported at once with their paths
    Guards against a check that reports only one error per attempt.
    Given answers with a wrong type, an unknown caller, a duplicate customer and an unknown key
    Then errors are reported at exactly these paths
      | failureDomains.0        |
      | customers.0.caller      |
      | customers.1.name        |
      | models.0                |

  Scenario: The listed differences are exactly the changed values
    Guards against telling an operator whose submission lost to a concurrent one the wrong changes.
    Given 100 pairs of generated configurations with seed 4103
    Then applying the listed differences to the first gives the second
    And a configuration has no difference to itself

  Scenario: The number of shards changes only with a new shard generation
    Guards against keys that move to another shard while their entries stay in the old one.
    Given answers whose write budget rises from 50 to 400 writes a second
    Then the change is rejected with the same shard generation and accepted with the next

  Scenario: A stored head with a wrong digest is rejected
    Guards against a configuration that was changed after its digest was computed.
    Given a stored head whose weights were changed
    Then it is rejected because of its digest
