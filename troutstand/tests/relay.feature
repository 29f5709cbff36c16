Feature: Only a complete response to the request itself is relayed

  Scenario Outline: Handling of what a target sends
    Given a target that answers <answer>
    When a <kind> request is sent
    Then the outcome is <outcome>

    Examples:
      | answer                                        | kind          | outcome     |
      | in full                                       | repeatable    | whole       |
      | in chunks                                     | repeatable    | whole       |
      | without a length and ends                     | repeatable    | whole       |
      | without a length and resets                   | repeatable    | broken      |
      | short of its length and ends                  | repeatable    | broken      |
      | with a chunk cut off                          | repeatable    | broken      |
      | for another request                           | repeatable    | broken      |
      | without the seal                              | repeatable    | broken      |
      | with an encoded body                          | repeatable    | broken      |
      | with bytes that are no answer                 | repeatable    | broken      |
      | that it is full                               | unrepeatable  | turned_away |
      | that it is somebody else                      | unrepeatable  | turned_away |
      | with 100 first                                | repeatable    | whole       |
      | with 103 first                                | unrepeatable  | whole       |
      | with status 000                               | repeatable    | broken      |
      | with status 000                               | unrepeatable  | broken      |
      | with status 099                               | repeatable    | broken      |
      | with status 600                               | unrepeatable  | broken      |
      | with status 999                               | repeatable    | broken      |
      | with status 0                                 | repeatable    | broken      |
      | with status 1000                              | repeatable    | broken      |
      | with status -01                               | repeatable    | broken      |
      | with status OK                                | repeatable    | broken      |
      | with status 101                               | repeatable    | broken      |
      | with status 000, then in full                 | repeatable    | broken      |
      | nothing and resets                            | unrepeatable  | broken      |

  Scenario: A failed connect counts as not sent
    Given an address where nothing listens
    When an unrepeatable request is sent
    Then the outcome is unsent

  Scenario: A second response on a connection is discarded
    Given a target that answers twice, then in full
    When two repeatable requests are sent one after the other
    Then both outcomes are whole and came on 2 connections

  Scenario: A connection is reused
    Given a target that answers in full
    When two repeatable requests are sent one after the other
    Then both outcomes are whole and came on 1 connections

  Scenario: A repeatable request is resent if its reused connection was closed by the target
    Given a target that answers in full, resets at the next request, then answers in full
    When two repeatable requests are sent one after the other
    Then both outcomes are whole and came on 2 connections

  # Guards against a second run that no limit counts.
  Scenario: A request is not resent if its workspace's limit allows no further run
    Given a target that answers in full, resets at the next request, then answers in full
    And the workspace's limit allows no further run
    When two repeatable requests are sent one after the other
    Then the second outcome is broken and the target saw 2 requests

  Scenario: A request that crashed its target on a reused connection counts as sent
    Given a target that answers in full, ends at the next request
    When two repeatable requests are sent one after the other
    Then the second outcome is broken, since the target is gone

  Scenario: A request written before its target asked for a backoff counts as sent
    Given a target that answers in full, resets at the next request, then answers in full
    And the target asks for rest while the second request is under way
    When two repeatable requests are sent one after the other
    Then the second outcome is broken and the target saw 2 requests

  Scenario: A non-repeatable request is not resent if its reused connection was closed
    Given a target that answers in full, resets at the next request, then answers in full
    When two unrepeatable requests are sent one after the other
    Then the second outcome is broken and the target saw 2 requests

  Scenario: A long body is written completely although the response comes early
    Given a target that answers before it reads the body
    When a request with a body of 3000000 bytes is sent, then another
    Then both outcomes are whole and the target read both bodies

  Scenario: The caller's credentials, connection headers and forged orders are not forwarded
    Given a target that answers in full
    When a repeatable request is sent
    Then the target got its path, its own headers, the time left and the expected target
    And the target got neither the key nor the headers of the caller's connection
    And the target got the caller's workspace, and no order that a caller wrote

  Scenario: Events are forwarded whole and the last event id is stored
    When a stream breaks within its third event
    Then two events were passed on and the stream resumes behind the second

  Scenario: Only events repeated after a resume are dropped
    When a stream sends two events under one id
    Then both were passed on
    When it is resumed by a target that begins with the event before the last
    Then only the event that follows was passed on

  Scenario Outline: A stream that ends with <ending> stands <where>
    When a stream ends with <ending>
    Then it stands <where>

    Examples: endings
      | ending         | where            |
      | "\n\n"         | between events   |
      | "\r\n\r\n"     | between events   |
      | "\n\r\n"       | between events   |
      | "\r\n\n"       | between events   |
      | "\n"           | within an event  |
      | "x"            | within an event  |
