Feature: A request without an answer is refused when a stopping gateway aborts it

  # Guards against connections that are closed without an answer at the end of a planned stop.
  Scenario Outline: A request <what> gets <status> with code <code> and run <run>
    Given a gateway in this process with 1 s to stop, and a request <what>
    When the gateway is told to stop
    Then the caller gets one whole answer <status> with code <code> and run <run>
    And its head says that the connection closes
    And the log tells of the request as <event>

    Examples:
      | what                                    | status | code | run     | event           |
      | whose target is silent before the head  | 502    | 5003 | unknown | request_cut     |
      | whose target is silent within the body  | 502    | 5003 | unknown | request_cut     |
      | whose stream is silent before its data  | 502    | 5003 | unknown | request_cut     |
      | that waits for a target                 | 503    | 3006 | no      | request_cut     |
      | whose body has not arrived              | 503    | 3006 | no      | request_refused |

  Scenario: A stream that has started gets no other head when it is aborted
    Given a gateway in this process with 1 s to stop, and a request whose stream is silent after its data
    When the gateway is told to stop
    Then the caller gets a stream without its end
    And the log tells of the request as request_cut
