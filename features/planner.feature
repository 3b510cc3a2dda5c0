Feature: Planner

  # Guards against a placement that the loss of one failure domain takes below what the latency target needs.
  Scenario: Missing hosts are started where the placement wants them
    Given offers in 3 failure domains with reclaimable hosts at 30 and on-demand hosts at 90
    When the placement for 6 engines is planned and 2 reclaimable hosts of the first failure domain run
    Then the starts complete the placement and the loss of any failure domain leaves 6 engines

  # Guards against taking most engines of a model out of service for the same load.
  Scenario: Orders never load most engines of a model at the same time
    When orders for 6 engines with an old version are planned and 1 of them is loading already
    Then 1 engine is told to load

  # Guards against a fleet that stays short of engines after a reclaim, and against hammering an offer that is refused.
  Scenario: A running fleet replaces reclaimed engines and backs off from refused starts
    Given a fleet with a planner
    When the failure domain "st-jerome" loses its engines and the cloud refuses the next 2 starts
    Then the cloud has started further engine hosts and refused at most 2 starts
