Feature: A workspace below its limit is served while gateways leave and return, with real processes

  # Guards against usage that is assumed of returning gateways, and against shares of the limit that
  # gateways which have ended keep, when either refuses what the limit allows.
  Scenario Outline: A workspace at <rate> of its rate is served with <away> of <gateways> gateways
    Given a routed site of <gateways> gateways with a workspace that is limited
    When for 20 s it asks ready gateways for <rate> of its rate, with <away>
    Then none of its calls is refused for its limit
    And at least 0.97 of its calls are answered in each second from 1 s after the last return on

    Examples:
      | gateways | rate | away                                             |
      | 4        | 0.8  | each gateway away for 0.5 s in turn              |
      | 4        | 0.8  | all gateways away for 3 s                        |
      | 4        | 0.8  | all gateways and schedulers away for 3 s         |
      | 4        | 0.8  | all processes away for 1 s                       |
      | 14       | 0.8  | all gateways away for 3 s                        |
      | 4        | 0.8  | three gateways away for 3 s                      |
      | 14       | 0.8  | all gateways but three away for 3 s              |
      | 14       | 0.5  | nine gateways away for 3 s                       |

  # Guards against recovery that leaves out calls which run once, plain services or the lowest tier.
  Scenario Outline: Calls of the lowest tier to a plain service are answered with <away>
    Given a routed site of 8 gateways with a workspace that is limited
    When for 16 s it asks ready gateways for 0.4 of its rate, and as much in calls that run once, with <away>
    Then none of its calls is refused for its limit
    And at least 0.97 of its calls are answered in each second from 1 s after the last return on
    And at least 0.97 of the calls that run once are answered from 1 s after the last return on

    Examples:
      | away                                     |
      | six gateways away for 3 s                |
      | all gateways and schedulers away for 3 s |
      | all processes away for 1 s               |
