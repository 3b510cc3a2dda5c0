Feature: Startup of the bundled host

  # Guards against loading modules that serving requests does not need: they delay the restart of a small host.
  Scenario: Startup loads only modules that serving requests needs
    When the bundled daemon runs until it has read its settings
    Then it has loaded none of "tls, https, http2, zlib, child_process, cluster, worker_threads, v8, inspector, dns"
    And its bytecode is smaller than 2400 KB

  # Guards against a host that ends, or does not start, because another program is writing its settings file.
  Scenario: A host starts once its settings file is complete and outlives its loss
    Given a settings file of which only the first half is written
    When the bundled daemon starts and the rest is written 500 ms later
    Then it is ready
    When its settings file is removed and it is told to read it
    Then it is ready

  # Guards against a host that ends because a port is taken for a moment, or because the system can't accept one connection.
  Scenario: A server listens once its port is free and outlives errors of accepting
    Given a port that another server holds for 600 ms
    Then a server that is to listen there does so once it is free
    And it outlives 3 errors of accepting connections
