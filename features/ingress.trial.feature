Feature: Services that were too slow

  # Guards against a host that goes on refusing requests of a service that has become fast again.
  Scenario: Requests are started again soon after a pause of their service
    When 200 random days are played on which a service pauses
    Then all requests later than one objective after the pause are started

  # Guards against a host that refuses for what it has seen of a service long ago.
  Scenario: Nothing is refused for a pause before a time without requests
    When 200 random days are played on which a service pauses and then gets no requests for a while
    Then no request after that time is refused

  # Guards against trials that add load to a service which is too slow already.
  Scenario: A service that stays too slow gets one trial at a time
    When 200 random days are played on which a service is too slow
    Then after the first refusal no request is started beside another one
