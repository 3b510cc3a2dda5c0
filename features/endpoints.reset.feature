Feature: Answers of services in trouble

  # Guards against a part of an answer that is taken for the whole.
  Scenario Outline: An answer without a length that is reset while its request is still being written is not complete
    Given a service as a process of its own
    Then 8 requests of <megabytes> MB that are answered with "<way>" end with <result> at the driver of plain services
    And 8 requests of <megabytes> MB that are answered with "<way>" end with <result> at an ingress

    Examples:
      | megabytes | way       | result    |
      | 8         | reset/0   | failed    |
      | 8         | reset/20  | failed    |
      | 32        | reset/100 | failed    |
      | 8         | close/0   | failed    |
      | 32        | close/20  | failed    |
      | 0         | reset/5   | failed    |
      | 8         | end/20    | 200, part |
      | 0         | end/0     | 200, part |

  Scenario Outline: An answer that another host passes on is complete only if it ended in order
    Given a service as a process of its own
    Then 4 requests of <megabytes> MB that are answered with "<way>" end with <result> at the other host

    Examples:
      | megabytes | way      | result    |
      | 8         | reset/0  | failed    |
      | 8         | reset/20 | failed    |
      | 8         | close/0  | failed    |
      | 8         | close/20 | failed    |
      | 0         | reset/5  | failed    |
      | 8         | end/20   | 200, part |
      | 0         | end/0    | 200, part |

  # Guards against numbers that reach callers as statuses though no client knows them.
  Scenario Outline: A status that HTTP doesn't have is no answer
    Given a service as a process of its own
    Then 1 requests of 0 MB that are answered with "status/<status>" end with <result> at the driver of plain services
    And 1 requests of 0 MB that are answered with "status/<status>" end with <result> at an ingress
    And 1 requests of 0 MB that are answered with "status/<status>" end with <result> at the other host

    Examples:
      | status | result    |
      | 000    | failed    |
      | 099    | failed    |
      | 600    | failed    |
      | 999    | failed    |
      | 200    | 200, part |

  # Guards against a part of a generation that is taken for the whole.
  Scenario Outline: A generation is not finished by an engine in trouble
    Given a service as a process of its own
    Then 4 generations of <megabytes> MB that are answered with "<way>" end without a finish at the driver of engines

    Examples:
      | megabytes | way        |
      | 8         | reset/0    |
      | 8         | reset/20   |
      | 8         | close/20   |
      | 0         | end/0      |
      | 0         | status/000 |
      | 0         | status/600 |
      | 0         | status/200 |
