@promises
Feature: Requests that crash engines

  Scenario: A poison request is sent again under new ids
    Guards against a request that takes down one engine after another, and against refusing the requests that ran beside it.
    Given a fleet with 5 engines that crash on the marker "POISON" and seed 1601
    When 3 customers ask 5 questions each with answers of 300 tokens
    And the customer "farm-union" sends the question "How much POISON?" 5 times under new ids
    And 3 customers ask 2 questions each with answers of 100 tokens
    Then every caller gets the whole answer to its own question
    And at most 2 engines were lost and at least 1
    And the poison request was refused in the end
