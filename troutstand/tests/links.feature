Feature: Links between processes are authenticated and bounded

  Background:
    Given the shared site

  Scenario Outline: A link with <fault> is refused, logged and counted
    When a link with <fault> is opened to "north-0.entry"
    Then it is closed with code <code>
    And "north-0.entry" logged "<event>" with that code

    Examples:
      | fault             | code | event          |
      | a wrong key       | 7001 | link_refused   |
      | an unknown host   | 7001 | link_refused   |
      | another site      | 7001 | link_refused   |
      | malformed CBOR    | 7002 | link_malformed |
      | an unknown type   | 7002 | link_malformed |

  Scenario: A message over the size limit closes the link and the process keeps running
    When a link sends a message over the limit to "north-0.entry"
    Then it is closed
    And the next good request is served

  Scenario: A link lost during a write is reopened
    When a link's peer closes it while a message over the peer's limit is written
    Then the link is opened again

  Scenario: A peer that refuses connections is logged once
    When a link is opened again and again where nothing listens
    Then its log holds "link_unopened" once

  Scenario: A full send queue is logged once
    When 20 messages are sent over a link whose queue takes 16
    Then 4 of them are not queued
    And its log holds "link_queue_full" once

  Scenario Outline: A link is opened to <ip>
    When a link to <ip> is told where its peer listens
    Then it connects to "<uri>"

    Examples: numbers
      | ip        | uri                  |
      | 127.0.0.1 | ws://127.0.0.1:7700/ |
      | ::1       | ws://[::1]:7700/     |
