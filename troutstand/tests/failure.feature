Feature: Delivery and consistency guarantees hold under failures

  Expected results come from the stub targets' own record of what ran.

  Background:
    Given a site of 3 failure domains with 1 keeper each

  Scenario: An entry process is killed under load
    When a mixed load runs and the scheduler of "north" is killed
    Then no answer that a caller took for whole was short or another's
    And no command ran twice and every "not run" is true
    And the other entry processes of "north" serve again

  Scenario Outline: A command's entry process is killed <moment>
    Given the command service takes a second to run
    When command "k1" is sent through "north-0.entry", which is killed <moment>
    And command "k1" is sent again through "south-0.entry"
    Then the last answer is <answer>
    And "k1" ran <runs>

    Examples:
      | moment                     | answer                        | runs         |
      | once the target has it     | 4002 with run "unknown"       | once         |

  Scenario: A frozen entry process resumes after its command was closed
    Given the command service takes a second to run
    When command "k2" is sent through "north-0.entry", which is frozen once it claimed
    And command "k2" is sent again through "south-0.entry"
    Then the last answer is 4002 with run "unknown"
    When "north-0.entry" thaws and its answer is awaited
    Then "k2" ran at most once

  Scenario: The same command is sent to several entry processes at once
    When command "k3" is sent through every entry process at once
    Then every answer is the same whole one
    And "k3" ran once

  Scenario: Commands are served while one keeper is down
    When "west-0.keeper" is killed
    And command "k4" is sent through "north-0.entry"
    Then the last answer is whole
    And "k4" ran once

  Scenario: Without a majority of keepers commands are refused and nothing runs
    When "west-0.keeper" is killed
    And "south-0.keeper" is killed
    And command "k5" is sent through "north-0.entry"
    Then the last answer is 4001 with run "unknown"
    And "k5" ran never
    When an unkeyed command "k6" is sent through "north-0.entry"
    Then the last answer is 4001 with run "no"
    And "k6" ran never

  Scenario: Ordinary requests are served while all keepers are down
    When every keeper is killed
    Then chats through "north-0.entry" are whole for 2 leases

  Scenario: A keeper is replaced after disk loss and another is killed right after
    Given version 2 is accepted
    And command "k7" is sent through "north-0.entry"
    When "west-0.keeper" loses its disk and is replaced
    And "south-0.keeper" is killed
    Then version 2 is read from a majority by "west-0.keeper"
    When command "k7" is sent again through "north-1.entry"
    Then the last answer is whole
    And "k7" ran once

  Scenario: A keeper that lost its disk does not vote
    When "west-0.keeper" loses its disk and returns
    Then "west-0.keeper" does not vote

  Scenario: A keeper that restarts with an older copy of its disk does not vote
    Given the disk of "west-0.keeper" is copied
    And version 2 is accepted
    And the peers of "west-0.keeper" heard how far its disk has come
    When "west-0.keeper" is restarted with the copied disk
    Then "west-0.keeper" reports code 8005 and does not vote

  Scenario: Concurrent edits of one version, and their repeats, are consistent
    When two operators accept edits of version 1 at once through different keepers
    Then one edit is accepted and the other is refused with 6001 and the difference
    And resending both edits gives the same answers

  Scenario: A version is active at every process and survives a full restart
    Given version 2 is accepted
    Then version 2 is in force at every process
    When every process is killed and restarted
    Then version 2 is in force at every process

  Scenario: A full restart after 500 changes keeps the last version
    Given 500 changes are accepted
    When every process is killed and restarted
    Then version 501 is in force at every process
