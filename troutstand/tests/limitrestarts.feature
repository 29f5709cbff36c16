Feature: What a workspace used outlives the processes that counted it

  # Guards against usage that is lost when the processes that know it restart together or in turn.
  Scenario Outline: Usage outlives <fault>
    Given a routed site with a workspace that is limited
    When for 16 s three times as much is asked for, with <fault>
    Then no window holds more runs than the limit and its tolerated excess allow
    And the workspace ran at least 0.9 of what its limit alone allows in the last 6 s

    Examples:
      | fault                                                         |
      | schedulers killed in turn                                     |
      | no scheduler                                                  |
      | a roll-out of all gateways and schedulers                     |
      | half of the gateways killed with a scheduler, then the others |
      | all gateways and schedulers killed at once                    |
      | all processes killed at once                                  |
