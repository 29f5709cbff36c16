Feature: The result of a request is explained from the collected logs

  Scenario Outline: The cause of <kind>
    Given the logs of a gateway and a scheduler with <kind>
    When request r1 is explained
    Then the cause holds <cause>
    And the state lines hold <state> and none of other processes

    Examples:
      | kind                   | cause                                | state                        |
      | a refusal under load   | overload: core-1.scheduler expected  | event=targets_changed        |
      | a broken stream        | 2 other attempts failed at the same  | event=configuration_in_force |
      | a stream that another target fails | t1 broken (reset); t2 failed (status 500, no events) | version=6 |
      | a stream that began    | , its response had started after 80 ms: | version=6 |
      | a late answer          | configuration version 6, 7 in force  | version=7                    |
      | a first byte too late  | late for its objective of 300 ms, mostly due to its first byte | version=6 |
      | a long pause           | longest pause between events was 340 ms | version=6                 |
      | a limit that is reached| its workspace was at its limit       | event=scheduler_changed      |
      | an answer without a byte| never received in this attempt      | event=configuration_in_force |
      | a stop amid its answer | its gateway was stopped before       | event=stop_started           |
      | no end                 | no end was logged                    | event=configuration_in_force |

  Scenario: An id without log lines
    Given the logs of a gateway and a scheduler with a broken stream
    When request r9 is explained
    Then there is no explanation
