Feature: Rolling out a software version

  # Guards against callers of a bad version beyond the permitted share, and against a good one that is not completed in time.
  Scenario Outline: A version is judged by its answers, and its exposure stays within bounds
    When 3 roll-outs are played of a version that is <version>
    Then each ends as <state> before its time limit
    And at most a tenth of the requests went to the target before it was completed
    And no request went to a bad target later than 5 s after its 50th bad answer

    Examples:
      | version          | state     |
      | good             | completed |
      | bad at once      | reverted  |
      | bad after 10 s   | reverted  |
      | bad under load   | reverted  |
      | bad on one route | reverted  |
      | slower           | reverted  |
      | flapping         | reverted  |

  # Guards against a verdict on faults that both versions have.
  Scenario: A version whose answers fail as often as those of the former one is completed
    When 6 roll-outs are played of a version that is as faulty as the former one
    Then each ends as completed before its time limit

  # Guards against steps of a roll-out that rely on a holder, a link or the store.
  Scenario Outline: A fault in the middle of a roll-out leaves a good version to be completed and a bad one to be reverted
    When 4 roll-outs of a good and of a bad version are played with "<fault>" at various times
    Then the good ones end as completed and the bad ones as reverted before the time limit
    And at most a tenth of the requests went to the target before it was completed
    And no request went to a bad target later than 5 s after its 50th bad answer

    Examples:
      | fault        |
      | holderKilled |
      | hostsCut     |
      | storeDown    |
      | restored     |
      | crash        |
      | reclaim      |
      | answerLost   |

  Scenario: A later order ends the roll-out in progress and its target gets no further requests
    When 4 roll-outs of a good and of a bad version are played with "otherOrder" at various times
    Then all end as reverted for the later order's target
    And at most a tenth of the requests went to the target before it was completed

  Scenario: A version that gives too few answers is reverted with the reason
    When 3 roll-outs are played of a good version at 2 requests a second
    Then each is reverted as not proven in time

  Scenario Outline: An order that can't be carried out is refused
    When a roll-out of "<service>" to "<target>" within <seconds> s is ordered
    Then it is refused for its "<field>"

    Examples:
      | service | target | seconds | field    |
      | other   | v2     | 60      | service  |
      | s       | v1     | 60      | target   |
      | s       | v2     | 8       | duration |

  # Guards against requests of hosts that restart, wake or are cut off while a version is not proven.
  Scenario: A host without fresh knowledge sends an unproven version nothing
    Given a host that knows a step of a roll-out
    Then it sends the target a part of its requests within 2.4 s of the step and none later
    And it sends the target nothing while its own results have waited 2 s to be reported
    And a host that knows an order or a status but no step sends the target nothing

  # Guards against streams that lose their version, and against choices between versions without an order.
  Scenario: Versions that serve side by side without an order are chosen as before
    Given a host that knows no roll-out
    Then it may send requests to endpoints of all versions

  # Guards against a duty whose steps, reports and status do not meet in the store.
  Scenario Outline: A host carries out an order end to end
    Given an ingress with roll-outs whose services run version "v1"
    When the operator orders a roll-out of records to "v2" and <answers> endpoint of it starts
    And a caller sends requests until the roll-out has ended
    Then its status is "<state>" with the target "v2" and <reason>
    And at most two fifths of the requests went to the target before it moved
    And requests now go to "<version>" alone

    Examples:
      | answers   | state     | version | reason      |
      | a good    | completed | v2      | no reason   |
      | a failing | reverted  | v1      | a reason    |

  Scenario: An order that can't be carried out is refused in the status
    Given an ingress with roll-outs whose services run version "v1"
    When the operator orders a roll-out of records to "v1"
    Then its status is "reverted" with the target "v1" and a reason
    And requests now go to "v1" alone
