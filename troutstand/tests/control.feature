Feature: Operator tools: table files, log timeline, result codes and statsd

  Scenario: A table written to files reads back the same
    Given the rows of a small site
    When they are written as files and read back
    Then the rows are the same

  Scenario Outline: A file with <fault> is refused with its location
    Given the rows of a small site
    When they are written as files with <fault>
    Then reading them fails with 6002 and "<place>"

    Examples:
      | fault                  | place                          |
      | an unknown column      | workspaces.csv                 |
      | a bad number           | tiers.csv line 4               |
      | an unknown tier        | workspace counter              |
      | two rows of one name   | is defined twice               |
      | a missing file         | models.csv is missing          |

  Scenario: Log lines of several processes merge in causal order
    Given processes whose wall clocks differ by a minute
    When one sends a message that the other answers
    Then the merged lines stand in the order in which things happened

  Scenario: Logged values with spaces, quotes and line breaks read back the same
    Then a line with the value 'a "b" = c' and a line break is read back

  Scenario: The generated page of result codes is up to date
    Then docs/RESULT-CODES.md is what the enum makes

  Scenario: Events reach a statsd receiver as counts, timings and gauges by tier
    Given a statsd receiver
    When events with a time and a gauge are published
    Then it received a count, a timing and a gauge by tier
