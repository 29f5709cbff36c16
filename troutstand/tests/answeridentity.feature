Feature: An answer belongs to one attempt of a request

  # Guards against a copy of an earlier attempt's answer that passes for the answer of the next
  # attempt: the id is the same, so only the connection tells them apart.

  Scenario Outline: A full target sends <extra>
    Given a faulty target that is full and sends <extra>, then runs requests
    When a command is sent, and sent again while it has not run
    Then it has run once, and its own answer was returned

    Examples:
      | extra                                        |
      | nothing                                      |
      | a copy at once                               |
      | a copy before the next answer                |
      | a part of a copy before the next answer      |
      | bytes without an end                         |

  Scenario: A target that is full twice sends a late copy each time
    Given a faulty target that is full twice with a late copy each time, then runs requests
    When a command is sent, and sent again while it has not run
    Then it has run once, and its own answer was returned

  Scenario: The request that resumes a stream avoids the connection of its failed attempt
    Given a faulty target that fails and sends a copy before the next answer, then runs requests
    When a repeatable request is sent, and resumed after the failure
    Then the resumed request was sent on another connection

  Scenario: An attempt beside a silent one avoids the connection of an earlier attempt
    Given a faulty target that fails and sends a copy before the next answer, then runs requests
    When a repeatable request fails, and is sent twice at once
    Then each attempt was sent on another connection

  Scenario: A request repeated after a stale connection avoids the connections that it used
    Given a faulty target that is full with a late copy, then resets, then runs requests
    When a repeatable request is sent after others, and sent again while it has not run
    Then each attempt was sent on another connection

  Scenario: A request repeated through a peer avoids the connection of its earlier attempt
    Given a faulty target that is full and sends a copy before the next answer, then runs requests
    When a command is sent through a peer, and sent again while it has not run
    Then it has run once, and its own answer was returned
    And both attempts went through a peer

  Scenario: A command is sent again over the connection that a check has opened
    Given a faulty target that is full and sends a copy before the next answer, then runs requests
    When a command is sent, its path is checked, and it is sent again
    Then it has run once, and its own answer was returned

  # New connections cost their targets: a rejection closes none that others can use.
  Scenario: The connection of a rejection serves other requests
    Given a faulty target that is full and sends nothing, then runs requests
    When a command is sent, and another one after its rejection
    Then both arrived on one connection, and the second was answered

  Scenario Outline: A surplus <surplus> in front of an answer on a reused connection
    Given a faulty target that answers a request and sends <surplus> in front of the next answer
    When that request and then a command are sent
    Then the command is not reported as not run, and no answer of another is returned

    Examples:
      | surplus                              |
      | rejection                            |
      | rejection cut within a header        |
      | rejection cut within its status line |
      | success                              |
      | success cut within a header          |

  Scenario Outline: A surplus <surplus> cut at any byte in front of an answer on a reused connection
    When a surplus <surplus>, cut at each of its bytes, is sent in front of the answer to a command
    Then no command was reported as not run, and no answer of another was returned

    Examples:
      | surplus   |
      | rejection |
      | success   |

  Scenario: The connection of a rejection without an id is not used again
    Given a faulty target that is full, leaves out the id and sends a late copy, then runs requests
    When a command is sent, and another one after its rejection
    Then both arrived on two connections, and the second was answered

  Scenario: A repeated request that may have run before is not reported as not run
    Given a faulty target that runs a request and resets its reused connection, then is full
    When a repeatable request is sent after another one
    Then it is not reported as not run

  # Draws the same cases in each run.
  Scenario: Drawn answers: whole, twice, late, in part, without an end, with and without an id
    When 500 drawn targets get commands and repeatable requests over kept connections
    Then no command ran twice, none that ran was reported as not run, and each got its own answer
