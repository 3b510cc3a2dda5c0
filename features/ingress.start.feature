Feature: Startup of the bundled host

  # Guards against loading modules that serving requests does not need: they delay the restart of a small host.
  Scenario: Startup loads only modules that serving requests needs
    When the bundled daemon runs until it has read its settings
    Then it has loaded none of "tls, https, http2, zlib, child_process, cluster, worker_threads, v8, inspector, dns"
    And its bytecode is smaller than 2400 KB
