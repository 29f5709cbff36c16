Feature: Callers get their own whole answer or a numbered refusal

  Background:
    Given the shared site

  Scenario: An unchanged client's calls are answered
    Then a plain chat, a streamed chat, a text completion and the model list are answered

  Scenario: 200 malformed inputs get a numbered answer and the process lives
    When 200 malformed inputs are sent, seed 20261202
    Then each got a numbered refusal that says "not run"
    And the next good request is served

  Scenario: A tier may be lowered, never raised
    When workspace "nurses" asks for tier "draft"
    Then the answer is whole
    When workspace "nurses" asks for tier "urgent"
    Then the answer is refused with 2005

  Scenario: A key names one command
    When command "same" with body "one" and then "two" is sent
    Then the first is whole and the second refused with 2010

  Scenario: A repeated command gets the recorded answer
    When command "again" is sent three times through all entry processes
    Then every answer is the same whole one
    And "again" ran once

  Scenario: A caller that hangs up leaves nothing behind
    When 20 callers hang up in mid-stream
    Then no request runs or waits any more
