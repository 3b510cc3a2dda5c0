Feature: Copies of the store

  # Guards against listings that mix states of the store, which later changes don't repair.
  Scenario: A listing of several pages holds what the store held at one revision
    Given a store that is changed between the pages of a listing
    Then its listing holds the items of one revision
