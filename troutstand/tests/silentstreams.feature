Feature: An answer is not cut because its sound target is silent for a while

  Scenario Outline: Streams of targets that are silent for <silence> s come whole with pauses of <pause> ms
    Given a routed site with 3 engines whose streams may pause for <pause> ms
    When 12 streams are read whose targets are silent for <silence> s after the first event
    Then all of these streams come whole

    Examples:
      | pause | silence |
      | 200   | 1       |
      | 200   | 2       |
      | 200   | 4       |
      | 500   | 1       |
      | 500   | 2       |
      | 500   | 4       |

  Scenario Outline: Streams of silent targets come whole when <why>
    Given a routed site with <engines> engines whose streams may pause for <pause> ms, <limits>
    When <count> streams are read whose targets are silent for 2 s after the first event
    Then all of these streams come whole

    Examples:
      | engines | pause | count | limits                            | why                                |
      | 1       | 500   | 4     | without limits                    | there is one target                |
      | 1       | 200   | 4     | without limits                    | there is one target and pauses are short |
      | 3       | 500   | 12    | without room for other attempts   | other targets are full             |
      | 3       | 500   | 12    | without retries                   | the retry budget allows no attempt |
      | 3       | 500   | 6     | with a limit for 6 streams        | the limit allows no attempt        |

  Scenario Outline: Streams of silent targets come whole beside <event>
    Given a routed site with 3 engines whose streams may pause for 500 ms
    When 12 streams are read whose targets are silent for 2 s after the first event, beside <event>
    Then all of these streams come whole

    Examples:
      | event                         |
      | a change of the configuration |
      | a SIGHUP of the gateways      |
      | a SIGTERM of the gateways     |

  Scenario Outline: Answers of targets that are silent for <silence> s before the head come whole on <route>
    Given a routed site with 1 engines whose streams may pause for 200 ms
    When 4 answers of <route> are read whose targets are silent for <silence> s before the head
    Then all of these answers come whole

    Examples:
      | route           | silence |
      | /stream/resume/ | 2.5     |
      | /stream/        | 2.5     |
      | /get/           | 2.5     |
      | /do/            | 2.5     |

  Scenario Outline: Streams of silent targets come whole when attempts beside them <fail>
    Given a routed site with 3 engines whose streams may pause for 200 ms
    When 6 streams are read whose targets are silent for 2 s and other attempts <fail>
    Then all of these streams come whole
    And no target has anything running at the scheduler

    Examples:
      | fail                        |
      | are rejected                |
      | get a server error          |
      | break before their head     |
      | break after their head      |
      | are silent after their head |

  Scenario: A silent attempt is dropped only once another one has sent its first event
    Given a routed site with 3 engines whose streams may pause for 200 ms
    When 12 streams are read and one target is silent for good and others begin after 1 s
    Then all of these streams come whole
    And each silent attempt is dropped at most 0.4 s after another one has sent its first event
    And no target has anything running at the scheduler

  Scenario Outline: Streams of a target that never goes on are resumed elsewhere with pauses of <pause> ms
    Given a routed site with 3 engines whose streams may pause for <pause> ms
    When 12 streams are read and one target is silent for good after the first event
    Then all of these streams come whole
    And each of these streams takes at most <most> s

    Examples:
      | pause | most |
      | 200   | 1.1  |
      | 500   | 2.0  |
