Feature: A response that has started is resumed or visibly aborted

  # Guards against a second response head inside a stream that has started: the gateway resumed
  # the stream at another target and forwarded that target's error response whole.

  Scenario: The target that resumes a stream fails
    Given a routed site whose engines break streams and answer 500 with a text when asked to go on
    When a stream of /stream/resume-once/ is read to the end of its connection
    Then the caller has read one head, only whole events, and no end of the answer
    And the gateway's log tells that the stream broke off

  Scenario Outline: The target that resumes a stream answers <answer>
    Given a routed site whose engines break streams and answer <answer> when asked to go on
    When a stream of <route> is read to the end of its connection
    Then the caller has read one head, only whole events, and no end of the answer
    And the gateway's log tells that the stream broke off

    Examples:
      | route                 | answer                        |
      | /stream/resume-once/  | 503 that says that it ran     |
      | /stream/resume/       | 500 with a text               |
      | /stream/resume/       | 404 with a text               |
      | /stream/resume/       | 200 with a text               |
      | /stream/resume/       | 204 without a body            |

  # Guards against forwarding events of another target that do not continue the ones already sent.

  Scenario Outline: Targets <oddity> on <route>
    Given a routed site with odd targets, which <oddity>
    When a stream of <route> is read to the end of its connection
    Then no event came twice, and half an event is not followed by the end of the answer

    Examples:
      | oddity                                         | route           |
      | break off once                                 | /get/           |
      | begin from the first event when asked to go on | /stream/resume/ |
      | end without a length within an event           | /stream/        |
      | end without a length within an event           | /stream/resume/ |
      | pause for 0.9 s                                | /get/           |
      | number no events and break off once            | /stream/resume/ |

  Scenario Outline: Targets <oddity>, and the caller gets <what>
    Given a routed site with odd targets, which <oddity>
    When a stream of /stream/resume/ is read to the end of its connection
    Then the caller has read one head and <what>

    Examples:
      | oddity                                             | what                              |
      | begin from the first event when asked to go on     | every event and the end           |
      | break off once and go on with 204 of the same type | the first event and no end        |
      | break off once and go on with the type in capitals | every event and the end           |

  Scenario: A second response is dropped and the first one aborted
    When a server that answers a request twice is called and read to the end of the connection
    Then the caller has read one head, only what the handler wrote, and no end of the answer

  Scenario Outline: A handler of an entry process fails in mid-response with <failure>
    Given an application for callers whose handler begins an answer and fails with <failure>
    When it is called and read to the end of the connection
    Then the caller has read one head, only what the handler wrote, and no end of the answer
    And the log tells that the answer was broken off with <code>

    Examples:
      | failure             | code |
      | a numbered error    | 5003 |
      | an unexpected error | 9001 |
      | an HTTP error       | 2001 |
