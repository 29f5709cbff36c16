Feature: What a process holds for its clients is bounded, and who stalls is evicted

  # Guards against an account that evicts callers whose requests are in progress.
  Scenario Outline: A client that is <phase> <outcome> when others need its memory
    Given an account of 1000000 bytes for 10 clients
    And a client that is <phase> and holds 700000 bytes
    When another client asks for 300000 bytes
    Then it is refused
    And the first client <outcome>

    Examples:
      | phase     | outcome            |
      | RECEIVING | is evicted          |
      | SENDING   | is evicted          |
      | WORKING   | is not evicted  |

  Scenario: The client that has stalled for longest is evicted first
    Given an account of 1000000 bytes for 10 clients
    And a client that is RECEIVING and holds 340000 bytes
    And a client that is RECEIVING and holds 300000 bytes
    When another client asks for 300000 bytes
    Then it is refused
    And only the first client is evicted

  # Guards against memory that counts as free while the connection still holds it.
  Scenario: Memory is free once the connection that was evicted has released it
    Given an account of 1000000 bytes for 10 clients
    And a client that is RECEIVING and holds 700000 bytes
    When another client asks for 300000 bytes
    Then it is refused
    When the first client has closed
    Then the other client gets 300000 bytes

  # Guards against large requests that leave no room for small ones.
  Scenario: Small requests fit beside large ones that fill their share
    Given an account of 1000000 bytes for 10 clients
    And a client that is WORKING and holds 700000 bytes
    When another client asks for 300000 bytes
    Then it is refused
    And the other client gets 30000 bytes

  Scenario Outline: A connection that is <phase> <outcome> when there are too many
    Given an account of 1000000 bytes for 2 clients
    And a client that is <phase> and holds 0 bytes
    And a client that is WORKING and holds 0 bytes
    When another client connects
    Then the first client <outcome>
    And the new connection is <answer>

    Examples:
      | phase     | outcome            | answer   |
      | OPENED    | is evicted          | accepted |
      | IDLE      | is evicted          | accepted |
      | RECEIVING | is evicted          | accepted |
      | WORKING   | is not evicted  | refused  |

  # Guards against a response that waits for ever since it is larger than the account.
  Scenario: A response that is alone is never made to wait
    Given an account of 1000000 bytes for 10 clients
    And a client that is WORKING and holds 0 bytes
    And a client that is WORKING and holds 0 bytes
    Then the first client may receive a response of 5000000 bytes
    And the second client may not receive a response of 300000 bytes

  # Guards against parsing that takes all turns of the event loop.
  Scenario: Lines are parsed up to a number in each turn, and those that wait go in order
    Given the turns of a parser
    When 3 connections ask for 4000 lines each
    Then 1 of them may parse now
    And after one turn 2 of them have parsed
    And after one turn 3 of them have parsed

  Scenario: Few lines never wait for a turn
    Given the turns of a parser
    When 3 connections ask for 4000 lines each
    Then 20 lines may be parsed at once
