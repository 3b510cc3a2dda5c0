Feature: Streams and the software versions of endpoints

  # Guards against one response that two versions wrote.
  Scenario: A stream that has begun does not go on at another software version
    Given an ingress with engines of the versions "v1" and "v2"
    And engines of version "v1" that break off after the second event
    When a caller sends streams until one has begun at version "v1"
    Then the response ends after two events without its end, within 300 ms of them
    And no engine of version "v2" got a part of it

  Scenario: A request without an event may be sent to an endpoint of any version
    Given an ingress with engines of the versions "v1" and "v2"
    And engines of version "v1" that break off before any event
    When a caller sends 6 streams
    Then all of them are complete

  # Guards against a response that continues the text of another version.
  Scenario: A stream is taken up at the version that began it
    Given an ingress with engines of the versions "v1" and "v2"
    And engines that break off streams after the second event and complete those that are taken up
    When a caller sends 12 streams and takes up each that breaks off
    Then each stream holds events of one version
    And at least 11 of them are complete

  # Guards against a take-up that is drawn to another service of a split route, which may have the same version.
  Scenario: A stream of a split route is taken up at the service that began it
    Given an ingress with engines of the versions "v1" and "v2"
    And engines that break off streams after the second event and complete those that are taken up
    When a caller sends 16 "splitStream" streams and takes up each that breaks off
    Then both parts of each stream come from the same service, and both services began some

  # Guards against two responses to one stream, and a run that goes on for a caller that has left.
  Scenario: A stream that is taken up while its first response is open ends that response
    Given an ingress with engines of the versions "v1" and "v1"
    And engines that pause streams after the second event and complete those that are taken up
    When a caller sends a stream and takes it up while it pauses
    Then the first response is cut and the second one is complete

  # Guards against a customer that ends or learns of another customer's stream by its request id.
  Scenario: A stream can only be taken up by its customer
    Given an ingress with engines of the versions "v1" and "v1"
    And engines that pause streams after the second event and complete those that are taken up
    When another customer takes up the stream of a caller while it pauses
    Then it is rejected as not run and the first response goes on

  # Guards against waiting, and against a run at a version that did not begin the stream.
  Scenario: A stream whose version no host knows is rejected at once
    Given an ingress with engines of the versions "v1" and "v2"
    When a caller takes up a stream that no host knows
    Then it is rejected as not run within 400 ms and no engine got it

  # Guards against joining versions after all hosts were killed, and against rejecting every stream then.
  Scenario Outline: A host that has just started knows the versions of the last seconds from the store
    Given an ingress with engines of the versions "v1" and "v1" whose store says that <other> was seen <seconds> s ago
    When a caller takes up a stream that no host knows
    Then the response has status <status>

    Examples:
      | other | seconds | status |
      | none  | 0       | 200    |
      | v0    | 60      | 200    |
      | v0    | 6       | 503    |

  Scenario: Without a record of the versions a host that has just started takes up no stream that it does not know
    Given an ingress with engines of the versions "v1" and "v1"
    When a caller takes up a stream that no host knows
    Then the response has status 503

  # Guards against a record that a restore of the store has undone.
  Scenario: The versions are recorded as they come and go, and again after a restore
    Given an ingress with engines of the versions "v1" and "v1"
    Then the store names the versions "v1" of "assistant" within 2000 ms
    When an engine of version "v2" comes
    Then the store names the versions "v1,v2" of "assistant" within 2000 ms
    When the store is restored from a copy without the record
    Then the store names the versions "v1,v2" of "assistant" within 3000 ms

  # Guards against rejecting every stream that began before all hosts were killed while a service had two versions.
  Scenario: The origins of streams are stored while a service has two versions
    Given an ingress with engines of the versions "v1" and "v2"
    When a caller sends 3 streams
    Then the store names the versions of all of them within 1000 ms

  Scenario: A host that has just started knows the origins of streams from the store
    Given an ingress with engines of the versions "v1" and "v2" whose store says that a stream began at "v2"
    When a caller takes up a stream that no host knows
    Then an engine of version "v2" completes it

  # Guards against forgetting versions with the host that passed the stream on.
  Scenario: Other hosts remember the version of a stream while a service has two
    Given 5 hosts that see the versions "v1" and "v2" of a service
    When streams begin at the first host, which is then lost
    Then each other host finds the versions of all of them

  # Guards against losing what began while there was one version.
  Scenario: Streams that began before a second version came are passed on when it comes
    Given 5 hosts that see the versions "v1" of a service
    When streams begin at the first host, a second version comes and the first host is lost
    Then each other host finds the versions of all of them

  # Guards against joining versions in any order of releases, losses of hosts and take-ups.
  Scenario: Streams are never joined from two versions
    Then in 3000 schedules of releases, lost hosts and take-ups no stream goes on at another version
    And streams are taken up in most cases where a host remembers them
