Feature: Hosts that lose their links to endpoints

  # Guards against a host that goes on sending requests into links that are cut.
  Scenario: A host that is cut off from all endpoints soon sends requests through others, and directly again afterwards
    When hosts are cut off from all endpoints in 300 seeded days
    Then none sends to an endpoint by itself from 2500 ms after the cut, and none by another host from 3000 ms after its end
    And each says that it is cut off within 2500 ms

  # Guards against requests that are sent into links that are cut only in part.
  Scenario: A host that is cut off from a failure domain or a service soon sends requests there through others
    When hosts are cut off from a failure domain or a service in 300 seeded days
    Then none sends to an endpoint by itself from 2500 ms after the cut, and none by another host from 3000 ms after its end
    And none says that it is cut off

  # Guards against crashes, slow prompts, silences and freezes that are taken for a cut.
  Scenario: Hosts whose links are sound send all requests directly
    When endpoints crash and fall silent, prompts are slow and hosts freeze in 400 seeded days
    Then every way is direct and no host says that it is cut off

  # Guards against requests that go round between hosts of which none reaches an endpoint.
  Scenario: Hosts that are all cut off relay nothing
    When all hosts are cut off at the same time in 100 seeded days
    Then no request is sent through another host

  # Guards against hosts that stay with relays because hosts that were cut off later still answered at first.
  Scenario: Hosts that are cut off one after the other try their own links in the end
    When all hosts are cut off within 1500 ms in 100 seeded days
    Then no request is sent through another host from 4500 ms after the last cut
    And no way leads through another host from 3000 ms after the end

  # Guards against a long lock-out, and against a notice that comes and goes with the links.
  Scenario: A host whose links come and go is back soon after they stay
    When links are cut for 600 ms every 1200 ms in 100 seeded days
    Then no way leads through another host from 3000 ms after the end
    And no host says that it is cut off from 8000 ms after the end

  # Guards against cuts that are not noticed because something else goes wrong too.
  Scenario: Crashes, silences and freezes hide no cut
    When hosts are cut off while endpoints crash and fall silent and hosts freeze in 200 seeded days
    Then no sound host sends through another one, and no way leads through another host from 3000 ms after the end

  # Guards against an order of reports in which hosts end with different knowledge.
  Scenario: Reports may arrive in any order and more than once
    Then 500 seeded series of reports leave the same knowledge in any order

  # Guards against news that never ends because hosts pass it on to each other.
  Scenario: Nothing becomes younger by being passed on
    Then 200 seeded rounds of reports between hosts end within 6 s

  # Guards against crashes that are recognised late, or against endpoints that are blamed for a cut.
  Scenario Outline: Failures are held against endpoints only once they can't be due to the host's own links
    Given a host with endpoints of 2 failure domains
    When <failures>
    Then <verdict>

    Examples:
      | failures                                                                  | verdict                                                    |
      | an endpoint refuses a connection                                          | its failure counts at once                                 |
      | endpoints of both failure domains refuse                                  | their failures count 500 ms later, while others are heard  |
      | endpoints of both failure domains refuse                                  | their failures count 1000 ms later, while nothing is heard |
      | an endpoint refuses that another host hears 200 ms later                  | its failure doesn't count, and its way is relay            |
      | an endpoint refuses that is heard on an open connection                   | its failure doesn't count, and its way is open             |
      | an endpoint refuses that another host hears 2500 ms later                 | its way is direct                                          |
      | connections time out in a freeze while another host hears their endpoints | their failures don't count, and their ways are direct      |
      | another process of an endpoint was heard                                  | its failure counts at once                                 |

  # Guards against a version that is not found to be broken because its crashes come beside slow prompts elsewhere.
  Scenario Outline: A request that an endpoint breaks off counts for its version once the host's own links are not its cause
    Given a host that waits for slow prompts in another failure domain
    When an endpoint breaks off a request and <event>
    Then within 1200 ms its version has <count> lost requests

    Examples:
      | event                                      | count |
      | nothing else happens                       | 1     |
      | other hosts go on hearing it and its group | 0     |

  # Guards against endpoints that are gone and count as reached for ever.
  Scenario: A host notices its loss of all links although the rest of an answer came from an endpoint after its end
    Given a host with endpoints of 2 failure domains
    When an endpoint of a third one ends, and then the rest of its answer comes
    And all endpoints that are left refuse while another host hears them
    Then the host says that it is cut off

  # Guards against sound endpoints that get nothing through other hosts, or after the cut, because this host's links were cut.
  Scenario: An endpoint that a request leaves because the link to it is cut stays in health
    Given a request in progress at one of 2 endpoints
    When the host loses its link to that endpoint
    Then the request goes on at the other endpoint
    And no failure counts against the first one

  Scenario: Sound hosts have nothing to report and nothing to probe
    Given a host with endpoints of 2 failure domains
    When it sends requests and hears all endpoints for 5 s
    Then it reports nothing, probes nothing and reaches all endpoints directly

  # Guards against one relay that takes the requests of all hosts that are cut off.
  Scenario: Three hosts carry the requests of six
    When 6 hosts send 600 requests through 3 others of 3 failure domains
    Then each of the 3 carries 20 to 47 percent

  Scenario: A relay is neither cut off nor full, and the bytes cross failure domains once if possible
    Then no relay is chosen of hosts that are cut off or full
    And of equal relays one in the failure domain of the host or the endpoint is chosen
    And a relay with 8 requests more is not chosen
