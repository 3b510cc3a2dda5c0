Feature: Planner

  # Guards against a placement that has too few engines for the latency target after the loss of one failure domain.
  Scenario: Missing hosts are started as the placement requires
    Given offers in 3 failure domains with reclaimable hosts at 30 and on-demand hosts at 90
    When the placement for 6 engines is planned and 2 reclaimable hosts of the first failure domain run
    Then the starts complete the placement and the loss of any failure domain leaves 6 engines

  # Guards against taking most engines of a model out of service at once to load a new version.
  Scenario: Orders never load most engines of a model at the same time
    When orders for 6 engines with an old version are planned and 1 of them is loading already
    Then 1 engine gets an order to load

  # Guards against a lasting shortage of engines after a reclaim, and against rapid retries of a refused offer.
  Scenario: A running fleet replaces reclaimed engines and backs off from refused starts
    Given a fleet with a planner
    When the failure domain "st-jerome" loses its engines and the cloud refuses the next 2 starts
    Then the cloud has started further engine hosts and refused at most 2 starts
