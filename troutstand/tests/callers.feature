Feature: Callers get their own complete response or a refusal with a result code

  Background:
    Given the shared site

  Scenario: An unchanged client's calls are answered
    Then a plain chat, a streamed chat, a text completion and the model list are answered

  Scenario: 200 malformed inputs are refused with a result code and the process keeps running
    When 200 malformed inputs are sent, seed 20261202
    Then each got a numbered refusal that says "not run"
    And the next good request is served

  Scenario: A request may lower its tier but not raise it
    When workspace "nurses" asks for tier "draft"
    Then the answer is whole
    When workspace "nurses" asks for tier "urgent"
    Then the answer is refused with 2005

  Scenario: An idempotency key cannot be reused with another body
    When command "same" with body "one" and then "two" is sent
    Then the first is whole and the second refused with 2010

  Scenario: A repeated command gets the recorded response
    When command "again" is sent three times through all entry processes
    Then every answer is the same whole one
    And "again" ran once

  Scenario: A caller that disconnects leaves no request running or waiting
    When 20 callers hang up in mid-stream
    Then no request runs or waits any more
