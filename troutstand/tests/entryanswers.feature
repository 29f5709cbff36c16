Feature: An entry process ends no answer that a target works on, and says truly whether it ran

  # Guards against an answer that is broken off since its engine pauses.
  Scenario Outline: An answer whose engine is silent for <silence> s after its first event comes whole, <how>
    Given an engine that is silent for <silence> s after its first event, and a stall timeout of 0.2 s
    When a <how> chat is served there
    Then its answer comes whole from the first target

    Examples:
      | silence | how      |
      | 0.6     | plain    |
      | 0.6     | streamed |

  # Guards against an answer that is given up although no other target may be tried.
  Scenario: The last try of a chat goes on while its engine is silent before its first event
    Given 2 engines that break off, then one that is silent for 0.6 s, and a stall timeout of 0.2 s
    When a plain chat is served there
    Then its answer comes whole from the last target

  Scenario: A chat whose engine sends no first event is tried at another one
    Given an engine that sends no event for 60 s, then one that answers, and a stall timeout of 0.2 s
    When a plain chat is served there
    Then its answer comes whole from the last target

  # Guards against a refusal as not run after a try that may have run.
  Scenario: A chat that broke off before its next target left the table may have run
    Given an engine that breaks off, then one that has left the table
    When a plain chat is served there
    Then it is refused with run "unknown"

  Scenario: A chat whose only target has left the table has not run
    Given an engine that has left the table
    When a plain chat is served there
    Then it is refused with run "no"

  # Guards against a refusal as not run after a try that may have run.
  Scenario Outline: A call of a service whose targets <fail> is refused with run <run>
    Given targets of a service that <fail>
    When an idempotent call is served there
    Then it is refused with run "<run>"

    Examples:
      | fail                                          | run     |
      | break off, refuse, refuse connections         | unknown |
      | refuse, break off, refuse connections         | unknown |
      | refuse, refuse, refuse connections            | no      |
      | refuse connections, then none is left         | no      |
      | break off, then none is left                  | unknown |

  # Guards against slots that are never given back since a caller left between two steps.
  Scenario Outline: A chat whose caller leaves while <what> gives its slot back
    Given an engine that breaks off, and a chat that is cancelled while <what>
    When the chat is served and cancelled
    Then each placement was finished once

    Examples:
      | what                           |
      | its target is recorded         |
      | its target is checked          |
