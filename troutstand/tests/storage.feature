Feature: A keeper's files are durable once synced

  Background:
    Given a data folder with 20 records

  Scenario: Records are read back in order
    Then 20 records are read back

  Scenario Outline: A torn or corrupt last record is truncated
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

  Scenario: A snapshot replaces the log and the record count continues
    When the records are replaced by a snapshot of 5
    Then 5 records are read back
    And the count of records written is 20

  Scenario: Two processes cannot open the same data folder
    Then opening the folder again fails with 1008
