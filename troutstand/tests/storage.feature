Feature: A keeper's files keep what was synced

  Background:
    Given a data folder with 20 records

  Scenario: Records come back in order
    Then 20 records are read back

  Scenario Outline: A torn or corrupt end is cut off
    When the last record is <damage>
    Then 19 records are read back
    And records written after it are read back too

    Examples:
      | damage       |
      | torn short   |
      | overwritten  |

  Scenario: A corrupt record in the middle stops the keeper
    When record 10 is overwritten
    Then opening the folder fails with 8001

  Scenario: A snapshot takes the log's place and the count goes on
    When the records are replaced by a snapshot of 5
    Then 5 records are read back
    And the count of records written is 20

  Scenario: Two processes cannot hold one folder
    Then opening the folder again fails with 1008
