Feature: Hosts that lose their links to endpoints

  # Guards against a host that goes on sending requests into links that are cut.
  Scenario: A host that is cut off from all endpoints soon sends requests through others, and directly again afterwards
    When hosts are cut off from all endpoints in 400 seeded days
    Then none sends to an endpoint by itself from 2500 ms after the cut, and none by another host from 3000 ms after its end

  # Guards against requests that are sent into links that are cut only in part.
  Scenario: A host that is cut off from a failure domain or a service soon sends requests there through others
    When hosts are cut off from a failure domain or a service in 400 seeded days
    Then none sends to a cut endpoint by itself from 2500 ms after the cut, and none by another host from 3000 ms after its end
    And none says that it is cut off

  # Guards against crashes, slow prompts, silences and freezes that are taken for a cut.
  Scenario: Hosts whose links are sound send all requests directly
    When endpoints crash and fall silent, prompts are slow and hosts freeze in 400 seeded days
    Then every way is direct and no host says that it is cut off

  # Guards against requests that go round between hosts of which none reaches an endpoint.
  Scenario: Hosts that are all cut off relay nothing
    When all hosts are cut off at the same time in 200 seeded days
    Then no request is sent through another host
