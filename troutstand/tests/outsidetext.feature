Feature: No text from outside ends a task of a process
  Guards against readers that raise an error which nobody expects, so that their task ends for good.

  Scenario Outline: <reader> refuses <fault>
    When <reader> reads a text with <fault>
    Then the text is refused with <code>

    Examples:
      | reader                            | fault                          | code |
      | a configuration                   | values nested too deeply       | 6009 |
      | a configuration                   | bytes that are no text         | 6009 |
      | a configuration                   | an escaped lone surrogate      | 6009 |
      | the platform's configuration      | values nested too deeply       | 6009 |
      | the platform's configuration      | bytes that are no text         | 6009 |
      | the platform's configuration      | an escaped lone surrogate      | 6009 |
      | a rollout order                   | values nested too deeply       | 2003 |
      | a rollout order                   | bytes that are no text         | 2003 |
      | the platform's rollout order      | values nested too deeply       | 2003 |
      | the platform's rollout order      | an escaped lone surrogate      | 2003 |
      | a routed process's settings       | values nested too deeply       | 1002 |
      | a routed process's settings       | bytes that are no text         | 1002 |
      | a process's settings              | values nested too deeply       | 1001 |
      | a page of the list of targets     | values nested too deeply       | 2003 |
      | an engine's report                | values nested too deeply       | 5002 |
      | an engine's report                | bytes that are no text         | 5002 |
      | an engine's event                 | values nested too deeply       | 5002 |
      | an engine's event                 | bytes that are no text         | 5002 |

  Scenario Outline: A caller's request with bytes that are no text in its <place> is answered
    Given a routed site whose list holds 0 invalid entries beside its targets
    When a caller sends bytes that are no text in its <place>
    Then the caller gets one of the statuses <statuses>
    And a call of /do/ through each gateway gets 200
    And no process logs a failed task

    Examples:
      | place       | statuses      |
      | path        | 200, 400, 404 |
      | Host        | 400, 404      |
      | key         | 400, 401      |
      | request id  | 400           |
      | model       | 400           |
      | deadline    | 200, 400      |
      | tokens      | 200, 400      |
      | parts       | 200, 400      |
      | last event  | 200, 400, 502 |
      | method      | 400, 405      |
