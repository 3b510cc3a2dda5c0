Feature: Spoiled answers of endpoints

  Background:
    Given an ingress with a store stand-in and two engines of each service

  # Guards against a stream that loses its head and its first event when the head of the first engine can't be forwarded.
  Scenario: A stream whose first engine spoils a header is begun whole by another engine
    Given engines of which the first answers with a control byte in a header
    When a caller sends a "stream" request with the body "prompt"
    Then the caller gets the events 1 to 5 once each in order and a complete answer
    And the caller gets 200 with the engine's signature
