Feature: Operators' client

  Scenario Outline: Commands end with the documented exit codes
    Guards against scripts that take a failure for a success.
    When the command "<command>" runs
    Then it ends with exit code <code> and writes JSON with "<member>"

    Examples:
      | command                                                                  | code | member        |
      | check examples/chaulage.toml --json                                      | 0    | digest        |
      | check examples/none.toml --json                                          | 2    | error         |
      | check package.json --json                                                | 2    | error         |
      | apply examples/chaulage.toml --json                                      | 2    | error         |
      | apply examples/salal.toml --key-value http://127.0.0.1:1 --wait-seconds 0 --json | 3 | error      |
      | status --entry 127.0.0.1:1 --json                                        | 3    | error         |
      | status --json                                                            | 2    | error         |
      | drain --entry 127.0.0.1:1 some-host --json                               | 3    | error         |
      | report examples/keys.toml --json                                         | 2    | error         |

  Scenario: Wrong usage is exit code 2
    Guards against a typing error that is silently ignored.
    When the command "aply examples/chaulage.toml" runs
    Then it ends with exit code 2

  Scenario: The loser of two simultaneous submissions learns what the other changed
    Guards against a submission that silently replaces another one.
    Given a key-value service that holds the answers of "salal"
    And another operator who raises the weight of cost between the read and the write of "apply"
    When apply submits the answers of "salal" with another latency target
    Then it ends with exit code 4 and writes JSON with "other"
    And the differences name exactly "weights.cost" and "weights.latency"
    And the head holds the other operator's submission as version 2

  Scenario: Of many concurrent submissions exactly one is written
    Guards against a compare-and-swap against the wrong version.
    Given a key-value service that holds the answers of "chaulage"
    When 8 operators submit different answers against the same base
    Then exactly 1 is written and 7 learn the difference between the base and that one

  Scenario: A submission whose reply is lost is recognised
    Guards against an operator who is told that the own submission lost against itself.
    Given a key-value service that holds the answers of "salal"
    And the reply to the next write is lost
    When apply submits the answers of "salal" with another latency target
    Then it ends with exit code 0 and writes JSON with "submissionId"
    And the head holds this submission as version 2

  Scenario: Apply waits for every failure domain
    Guards against a success while a failure domain still has the old configuration.
    Given a key-value service that holds the answers of "salal"
    And a daemon that reports the new version for "coast-c" only after 4 polls
    When apply submits the answers of "salal" with another latency target
    Then it ends with exit code 0 and writes JSON with "domains"
    And the daemon was polled at least 5 times

  Scenario: Apply reports a failure domain that stays behind
    Guards against waiting without end and against a success that is none.
    Given a key-value service that holds the answers of "salal"
    And a daemon that reports the new version for "coast-c" only after 100000 polls
    When apply submits the answers of "salal" with another latency target
    Then it ends with exit code 3 and writes JSON with "domains"
    And the head holds this submission as version 2

  Scenario: The questions give answers that the check accepts
    Guards against a questionnaire that asks for less than the schema needs.
    When a scripted operator answers all questions
    Then the answers are accepted and every new key matches its hash

  Scenario: Answers are read from a file and never overwritten without being told so
    Guards against the loss of an operator's answers.
    When init copies the answers of "salal" to a file twice
    Then the first run ends with 0, the second with 2, and the file generates the same configuration

  Scenario: A caller continues an answer after cuts without losing or repeating a token
    Guards against lost, repeated or reordered tokens in the caller library.
    Given an entry host that cuts connections
    Then 30 answers with seed 4201 arrive whole and in order

  Scenario: A caller resends the same key until the outcome is definite
    Guards against a new key for an old request and against giving up while the outcome is open.
    Given an entry host that cuts connections
    Then a service call that is cut twice, refused once and then answered ends as "done" with one key and 4 attempts
    And a service call that is refused for good ends as "notRun"
    And a service call whose execution is unknown ends as "unknown"

  Scenario: Every check of a run fails on the fault that it is for
    Guards against checks that can't fail.
    Then each fault fails exactly its check
      | fault        | check                                            |
      | none         |                                                  |
      | ranTwice     | No key ran twice                                 |
      | ranAfterNo   | No 'executed: no' that ran                       |
      | neverRan     | No answer without an execution                   |
      | open         | Every key has a definite outcome                 |
      | stray        | No execution of a key that was not sent          |
      | partial      | Every accepted request got its whole answer      |
      | foreign      | Every answer is the request's own                |
      | disordered   | Every token arrived once and in order            |

  Scenario: A report is self-contained and escapes what it shows
    Guards against pages that need a network and against markup from customers' names.
    When a result with markup in its names is rendered
    Then the page has no script, no reference to another file and no markup from the names

  # Guards against an on-call engineer who has an id and logs but no way from one to the other.
  Scenario: A request is explained from the logs of several hosts
    Given logs of two hosts in which a request is sent twice and its first endpoint vanishes
    When the request is explained from the logs
    Then its lines come in order of time with the loss of the endpoint between them, and no other request's
