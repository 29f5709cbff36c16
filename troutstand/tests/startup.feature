Feature: Settings are checked before any port opens

  Scenario Outline: <fault> is a numbered error that names the field
    Given the settings of an entry process with <fault>
    When troutstandd checks them
    Then it exits with <exit> and prints <code> and "<field>"

    Examples:
      | fault                   | exit | code | field          |
      | broken JSON             | 10   | 1001 | truncated      |
      | an unknown field        | 10   | 1002 | colour         |
      | a port out of range     | 10   | 1002 | link.port      |
      | a host name for an IP   | 10   | 1002 | admin.ip       |
      | two hosts of one id     | 10   | 1003 | north-0.entry  |
      | no callers address      | 10   | 1004 | callers        |
      | a bad lease             | 10   | 1002 | limits.lease_s |

  Scenario: Every fault is told at once
    Given the settings of an entry process with two hosts of one id and no callers address
    When troutstandd checks them
    Then it exits with 10 and prints 1003 and "north-0.entry"
    And it prints 1004 and "callers"

  Scenario: A data folder of another host is refused
    Given the settings of a keeper whose data folder is another's
    When troutstandd starts with them
    Then it exits with 11 and prints 1005 and "data_folder"

  Scenario: An unformatted data folder is refused
    Given the settings of a keeper whose data folder is unformatted
    When troutstandd checks them
    Then it exits with 11 and prints 1006 and "data_folder"

  Scenario: Settings in order are told so
    Given the settings of an entry process with no fault
    When troutstandd checks them
    Then it exits with 0 and prints 0 and "in order"

  Scenario Outline: A routed <role> whose <field> is <value> is told so
    Given the settings of a routed <role> whose <field> is <value>
    When troutstandd checks them
    Then it exits with 10 and prints 1002 and "<field> '<value>'"
    And it prints 1002 and "<accepted>"

    Examples: bad addresses
      | role    | field   | value               | accepted  |
      | gateway | callers | 127.127.81.1.4:7700 | [IP]:PORT |

  Scenario: A routed process that starts with a wrong address opens no port
    Given the settings of a routed gateway whose callers is 127.127.81.1.4:7700
    When troutstandd starts with them
    Then it exits with 10 and prints 1002 and "callers '127.127.81.1.4:7700'"
    And it has logged nothing

  Scenario: Every fault of a routed process is told at once
    Given the settings of a routed gateway with
      | field       | value               |
      | callers     | 127.127.81.1.4:7700 |
      | readiness   |                     |
      | target_list | 127.0.0.1           |
      | seeds       | keeper.example:7702 |
    When troutstandd starts with them
    Then it exits with 10 and prints 1004 and "readiness"
    And it prints 1002 and "callers '127.127.81.1.4:7700'"
    And it prints 1002 and "target_list '127.0.0.1'"
    And it prints 1002 and "seeds[1] 'keeper.example:7702'"
    And it has logged nothing
