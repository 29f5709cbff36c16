Feature: No window holds more than a limit allows, whatever counts it fails

  # Every run of 60 simulated seconds is counted in every window, second runs included, of a
  # workspace that asks for three times its limit while requests wait in queues.

  Scenario Outline: A limit holds at <gateways> gateways when <fault>
    Given simulations of <gateways> gateways with seeds from 0 to 7
    When <fault> again and again
    Then no window of them holds more than the limit and its tolerated excess
    And each of them runs at least 0.9 of what the limit alone allows

    Examples:
      | gateways | fault                           |
      | 4        | nothing fails                   |
      | 4        | a scheduler dies                |
      | 4        | half of the gateways die        |
      | 4        | all gateways and schedulers die |
      | 4        | all processes die               |
      | 4        | two halves are cut              |
      | 4        | a gateway is cut                |
      | 4        | the schedulers are cut          |
      | 8        | two halves are cut              |
      | 8        | all processes die               |

  Scenario: A limit holds when faults of all kinds overlap
    Given simulations of 4 gateways with seeds from 0 to 15
    When faults of all kinds follow one another
    Then no window of them holds more than the limit and its tolerated excess

  # Guards against gateways of a large site that each use a share too small for one request.
  Scenario: A limit holds at 330 gateways over changes of decider
    Given simulations of 330 gateways with seeds from 0 to 0
    When faults of all kinds follow one another
    Then no window of them holds more than the limit and its tolerated excess

  # Guards against usage that is assumed of returning gateways, when it refuses what a limit allows.
  Scenario Outline: A workspace below its limit is served after <fault> at <gateways> gateways
    Given simulations of <gateways> gateways with seeds from 0 to <last>
    When <fault> while it asks for 0.8 of its rate
    Then none of its requests is refused from 1 s after the last process is back

    Examples:
      | gateways | last | fault                                                                        |
      | 14       | 7    | most gateways lose power                                                     |
      | 14       | 7    | all gateways and schedulers lose power                                       |
      | 14       | 7    | all processes lose power                                                     |
      | 14       | 7    | all keepers and schedulers lose power, and most gateways before they return  |
      | 14       | 7    | all processes lose power, and again while they start                         |
      | 73       | 2    | most gateways lose power                                                     |
      | 73       | 2    | all gateways and schedulers lose power                                       |

  # Guards against gateways that are taken for lost between two heartbeats of a large site.
  Scenario: A workspace below its limit is served at 330 gateways
    Given simulations of 330 gateways with seeds from 0 to 1
    When nothing fails while it asks for 0.8 of its rate
    Then none of its requests is refused from 1 s after the last process is back

  # Guards against usage of a gateway that decided alone and ends soon after it has a scheduler.
  Scenario Outline: Usage of gateways that decided alone outlives them
    Given simulations of 4 gateways with seeds from <first> to <last>
    When faults of all kinds follow one another
    Then no window of them holds more than the limit and its tolerated excess

    Examples:
      | first | last |
      | 200   | 201  |
      | 249   | 250  |
      | 275   | 276  |
      | 284   | 285  |
      | 290   | 291  |

  # Guards against shares of gateways without power that those which remain lack.
  Scenario Outline: A workspace at half of its rate is served while gateways of <gateways> are without power
    Given simulations of <gateways> gateways with seeds from 0 to 3
    When half of the gateways lose power while it asks for 0.5 of its rate
    Then none of its requests is refused

    Examples:
      | gateways |
      | 14       |
      | 73       |

  Scenario: A limit holds when losses of power follow one another
    Given simulations of 4 gateways with seeds from 0 to 11
    When losses of power of all kinds follow one another
    Then no window of them holds more than the limit and its tolerated excess

  # Guards against a whole window of refusals of a workspace that was near its limit.
  Scenario: A workspace at its limit goes on at its rate after all gateways return
    Given simulations of 14 gateways with seeds from 0 to 5
    When all gateways and schedulers lose power while it asks for 3 of its rate
    Then at least 0.33 of its requests are served from 1 to 8 s after the last process is back
    And no window of them holds more than the limit and its tolerated excess
