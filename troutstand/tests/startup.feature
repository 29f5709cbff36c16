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

  Scenario: All errors are reported at once
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

  Scenario: Valid settings are reported as such
    Given the settings of an entry process with no fault
    When troutstandd checks them
    Then it exits with 0 and prints 0 and "in order"

  Scenario Outline: A routed <role> whose <field> is <value> is refused
    Given the settings of a routed <role> whose <field> is <value>
    When troutstandd checks them
    Then it exits with 10 and prints 1002 and "<field> '<value>'"
    And it prints 1002 and "<accepted>"

    Examples: bad addresses
      | role      | field       | value               | accepted        |
      | gateway   | callers     | 127.127.81.1.4:7700 | [IPv6]:PORT     |
      | gateway   | callers     | edge.example:7700   | [IPv6]:PORT     |
      | gateway   | callers     | ::1:7700            | [IPv6]:PORT     |
      | gateway   | callers     | [127.0.0.1]:7700    | [IPv6]:PORT     |
      | gateway   | callers     | [::1]               | [IPv6]:PORT     |
      | gateway   | callers     | :7700               | [IPv6]:PORT     |
      | gateway   | readiness   | 127.0.0.1           | from 1 to 65535 |
      | gateway   | readiness   | 127.0.0.1:          | from 1 to 65535 |
      | gateway   | readiness   | 127.0.0.1:0         | from 1 to 65535 |
      | gateway   | readiness   | 127.0.0.1:65536     | from 1 to 65535 |
      | gateway   | readiness   | 127.0.0.1:+770      | from 1 to 65535 |
      | keeper    | control     | 127.0.0.1.1:7702    | [IPv6]:PORT     |
      | scheduler | target_list | targets.example:80  | [IPv6]:PORT     |
      | keeper    | seeds[1]    | 127.0.0.300:7702    | [IPv6]:PORT     |
      | keeper    | ip          | 127.127.81.1.4      | IPv4 or IPv6    |
      | scheduler | ip          | core.example        | IPv4 or IPv6    |
      | scheduler | ip          | 127.0.0.1:7600      | IPv4 or IPv6    |
      | gateway   | bind_ip     | [::1]               | IPv4 or IPv6    |

  Scenario Outline: A routed <role> without <field> is refused
    Given the settings of a routed <role> without <field>
    When troutstandd checks them
    Then it exits with 10 and prints 1004 and "<field> is needed for role <role>"

    Examples: needed fields
      | role      | field       |
      | gateway   | callers     |
      | gateway   | readiness   |
      | gateway   | target_list |
      | scheduler | target_list |
      | keeper    | data_folder |

  Scenario Outline: A routed <role> whose <field> is <value> is valid
    Given the settings of a routed <role> whose <field> is <value>
    When troutstandd checks them
    Then it exits with 0 and prints 0 and "in order"

    Examples: good addresses
      | role      | field       | value              |
      | gateway   | callers     | 0.0.0.0:65535      |
      | gateway   | readiness   | [::1]:7701         |
      | keeper    | control     | 127.0.0.1:1        |
      | scheduler | target_list | [fd00::2]:80       |
      | keeper    | seeds[1]    | [::1]:7702         |
      | scheduler | bind_ip     | ::1                |

  Scenario: A routed process with an invalid address opens no port
    Given the settings of a routed gateway whose callers is 127.127.81.1.4:7700
    When troutstandd starts with them
    Then it exits with 10 and prints 1002 and "callers '127.127.81.1.4:7700'"
    And it has logged nothing

  Scenario: All errors of a routed process are reported at once
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

  Scenario: A running routed process refuses invalid settings and keeps running
    Given a routed gateway that runs
    When its settings get a bad seed and a bad target list
    Then it logs settings_refused with 1002 and both fields
    And it is still running
