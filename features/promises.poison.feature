@promises
Feature: Requests that crash engines

  Scenario: A poison request is resubmitted under new ids
    Guards against a request that crashes one engine after another, and against refusing the requests that ran concurrently.
    Given a fleet with 5 engines that crash on the marker "POISON" and seed 1601
    When 3 customers ask 5 questions each with answers of 300 tokens
    And the customer "farm-union" sends the question "How much POISON?" 5 times under new ids
    And 3 customers ask 2 questions each with answers of 100 tokens
    Then every caller gets the whole answer to its own question
    And at most 2 engines were lost and at least 1
    And the last submission of the poison request was refused
