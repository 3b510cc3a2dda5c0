Feature: Start of a bundled host

  # Guards against modules that a start loads although no caller needs them: a small host is back later by the time they take.
  Scenario: A start loads what callers need and nothing else
    When the bundled daemon starts up to the reading of its settings
    Then it has loaded none of "tls, https, http2, zlib, child_process, cluster, worker_threads, v8, inspector, dns"
    And its bytecode has less than 2400 KB
