Feature: A caller is told that its request has not run only if that is true
  Guards against a target's status, such as a 503 of its own after a run, that reaches the caller as that promise.

  Scenario Outline: An answer of <status> that <mark> to a request that <kind> is <outcome>
    Given an answer of <status> that <mark>
    Then for a request that <kind> it is <outcome>

    Examples:
      | status | mark             | kind             | outcome       |
      | 200    | has no mark      | runs once        | answered      |
      | 200    | says not run     | runs once        | not_run       |
      | 304    | has no mark      | runs once        | answered      |
      | 404    | has no mark      | runs once        | answered      |
      | 408    | has no mark      | runs once        | false_promise |
      | 421    | has no mark      | runs once        | not_run       |
      | 429    | has no mark      | runs once        | false_promise |
      | 500    | has no mark      | runs once        | failed        |
      | 503    | has no mark      | runs once        | false_promise |
      | 504    | has no mark      | runs once        | failed        |
      | 429    | says not run     | runs once        | not_run       |
      | 503    | says not run     | runs once        | not_run       |
      | 408    | has no mark      | may run again    | answered      |
      | 421    | has no mark      | may run again    | not_run       |
      | 429    | has no mark      | may run again    | answered      |
      | 500    | has no mark      | may run again    | failed        |
      | 503    | has no mark      | may run again    | failed        |
      | 503    | says not run     | may run again    | not_run       |
      | 0      | has no mark      | may run again    | invalid       |
      | 99     | says not run     | runs once        | invalid       |
      | 600    | has no mark      | runs once        | invalid       |

  Scenario Outline: Targets that run requests of <route> and answer <status>
    Given a routed site whose targets answer each second request, which they run, with <status>
    When 20 requests of <route> are sent
    Then those that ran and failed get <told>, and their targets' seal is <seal>
    And no request that ran is told as not run unless it may run again
    And no request of a route whose requests run once has run twice

    Examples:
      | route             | status | told     | seal       |
      | /do/              | 503    | 502      | not passed |
      | /do/              | 429    | 502      | not passed |
      | /do/              | 408    | 502      | not passed |
      | /do/              | 500    | 500      | passed     |
      | /do/              | 504    | 504      | passed     |
      | /do/              | 404    | 404      | passed     |
      | /stream/          | 503    | 502      | not passed |
      | /stream/          | 429    | 502      | not passed |
      | /get/             | 429    | 429      | passed     |
      | /stream/resume/   | 429    | 429      | passed     |

  # Guards against a status below 100 that is taken for an interim response, so that the attempt waits on.
  Scenario Outline: Targets that run requests of <route> and answer <status> in the status line
    Given a routed site whose targets answer each second request, which they run, with <status>
    When 20 requests of <route> are sent
    Then all are answered within 2 s
    And those that ran and failed get <told>, and their targets' seal is not passed
    And no request of a route whose requests run once has run twice

    Examples:
      | route    | status | told |
      | /do/     | 000    | 502  |
      | /do/     | 099    | 502  |
      | /do/     | 600    | 502  |
      | /stream/ | 000    | 502  |

  # Guards against a status that is none, which a caller got as its answer.
  Scenario Outline: <kind> that answers an entry process with status <status> has failed
    When <kind> answers an entry process with status <status>
    Then the call fails with 5002 and may have run

    Examples:
      | kind      | status |
      | a service | 000    |
      | a service | 099    |
      | a service | 600    |
      | an engine | 000    |
