Feature: A limit holds on both sides of a cut, and after it

  # Guards against usage that is counted by neither side, or forgotten when they meet again.
  Scenario Outline: Usage counts on both sides: <cut>
    Given a routed site with a workspace that is limited, whose links can be cut
    When for 16 s three times as much is asked for, and links fall silent: <cut>
    Then no window holds more runs than the limit and its tolerated excess allow
    And the workspace ran at least 0.9 of what its limit alone allows in the last 6 s

    Examples:
      | cut                            |
      | two halves for 6 s             |
      | two halves three times         |
      | one gateway cut off for 6 s    |
      | all schedulers cut off for 5 s |
