Feature: Bytes without end from a target are refused after a bound

  # Guards against a gateway that runs out of memory, or reads until the deadline.
  Scenario Outline: A response of <what> is broken off
    Given a target that writes <what>
    When a repeatable request to it is sent and its body read
    Then the attempt ends as <ending>: <detail>
    And the target has written at most <most> KiB when its connection is closed
    And the gateway's memory has grown by at most <memory> MiB

    Examples: in a head; the kernel holds up to 8 MiB that were written and not read
      | what                                  | ending | detail                         | most | memory |
      | a status line without end             | broken | at most 65536 bytes            | 8192 | 4      |
      | a header line without end             | broken | at most 65536 bytes            | 8192 | 4      |
      | a header name without end             | broken | at most 65536 bytes            | 8192 | 4      |
      | headers without end                   | broken | at most 65536 bytes            | 8192 | 4      |
      | empty lines without end               | broken | at most 65536 bytes            | 8192 | 4      |
      | informational responses without end   | broken | at most 65536 bytes            | 8192 | 4      |

    Examples: in a body
      | what                                  | ending      | detail                         | most  | memory |
      | chunks without end                    | broken      | at most 16777216 bytes         | 32768 | 40     |
      | a chunk without end                   | broken      | at most 16777216 bytes         | 32768 | 40     |
      | a body without a length and end       | broken      | at most 16777216 bytes         | 32768 | 40     |
      | a chunk size without end              | broken      | at most 65536 bytes            | 8192  | 4      |
      | a chunk extension without end         | broken      | at most 65536 bytes            | 8192  | 4      |
      | a trailer without end                 | broken      | at most 65536 bytes            | 8192  | 4      |
      | a rejection with a body without end   | turned_away | did not run                    | 8192  | 4      |

  # Guards against a whole answer that is lost for the bytes behind it.
  Scenario: A whole response with surplus bytes without end behind it is returned
    Given a target that writes surplus bytes without end
    When a repeatable request to it is sent and its body read
    Then the attempt ends as whole: hello
    And the target has written at most 8192 KiB when its connection is closed
    And the gateway's memory has grown by at most 4 MiB

  # Guards against a request that waits to its deadline for a head that never ends.
  Scenario Outline: A head that trickles without end in <what> is broken off after a time
    Given a target that writes <what>, one piece every 0.2 s
    And heads must end within 1 s
    When a repeatable request to it is sent and its body read
    Then the attempt ends as broken: after 1 s
    And the target has written at most 1 KiB when its connection is closed

    Examples:
      | what                      |
      | a status line without end |
      | headers without end       |

  # Guards against a time limit of heads that takes silence for the end of an answer.
  Scenario: A target that is silent within its head for longer than heads may take is awaited
    Given a target whose head is silent for 1.5 s
    And heads must end within 1 s
    When a repeatable request to it is sent and its body read
    Then the attempt ends as whole: hello

  # Guards against many bodies within their bound that together fill the memory.
  Scenario: Bodies without end of 12 requests at once share a bound
    Given a target that writes a body without a length and end
    When 12 repeatable requests to it are sent at once and their bodies read
    Then all attempts end as broken
    And the gateway's memory has grown by at most 112 MiB

  # Guards against callers that wait for bytes without end although another target would answer.
  Scenario Outline: A call that may run again is answered by another target after <what>
    Given a routed site with one target of two that writes <what>
    When 6 calls of <route> are made one after the other
    Then every call is answered by the other target
    And the endless target was reached, and wrote at most <most> KiB each time
    And a log line of a failed attempt holds <detail>

    Examples:
      | what                               | route           | most  | detail         |
      | a header without end               | /get/           | 8192  | 65536 bytes    |
      | a body without end                 | /get/           | 32768 | 16777216 bytes |
      | an event without end               | /stream/resume/ | 16384 | 4194304 bytes  |
      | an event of many lines without end | /stream/resume/ | 16384 | 4194304 bytes  |

  # Guards against a refusal that promises that a request has not run.
  Scenario Outline: A call that may run once gets 502 after <what>
    Given a routed site with one target of two that writes <what>
    When 6 calls of /do/ are made one after the other
    Then calls that reached the endless target get 502, the others are answered
    And the endless target was reached, and wrote at most 32768 KiB each time

    Examples:
      | what                 |
      | a header without end |
      | a body without end   |
