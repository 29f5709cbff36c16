Feature: A regression run names the site that got worse

  Scenario Outline: A mean that falls by <fall> <verdict>
    Given recorded scores of 0.8 for two days
    When the days come to 0.8 less <fall>
    Then the run <verdict>

    Examples:
      | fall | verdict |
      | 0.02 | holds   |
      | 0.04 | fails   |

  Scenario: A broken rule fails a run whatever its figure is
    Given recorded scores of 0.8 for two days
    When a day comes to 0.9 with a rule broken
    Then the run fails
