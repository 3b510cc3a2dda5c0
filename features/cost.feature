Feature: Work that is left out changes no result

  Scenario: Messages are recognised only if the schema library takes them as they are
    Given schemas of messages with optional, nullable, repeated and named parts
    Then 2000 random values are validated as by the schema library

  # Guards against reports that cost several times as much as soon as one of their parts is present.
  Scenario: Reports between hosts are recognised without the schema library, whatever parts they have
    Given the schemas of reports between hosts
    Then 200 random reports of each are recognised without the library

  Scenario: Heartbeats of endpoints are read as if each entry were read for the first time
    Given a decoder that has read entries of one endpoint in 500 random orders
    Then each entry gave the same record and sequence as with a new decoder

  Scenario: Log lines hold the fields of their event, of the process and of the call
    When lines are written with no fields, with fields, and with fields named like those of the log
    Then each line is the JSON of all its fields, of which those of the call take precedence
