Feature: An answer that a sound target works on is not ended by what happens beside it

  # Guards against streams that end because their route, key, target or decider is gone.
  Scenario Outline: Streams of silent targets come whole beside <event>
    Given a routed site with 3 engines whose streams may pause for 500 ms
    When 12 streams are read whose targets are silent for 2 s after the first event, beside <event>
    Then all of these streams come whole

    Examples:
      | event                                  |
      | a configuration without their route    |
      | a configuration that revokes their key |
      | a list in which their targets drain    |
      | a list without their targets           |
      | the end of the scheduler in use        |
      | the end of all schedulers              |
      | the end of all keepers                 |

  # Guards against tunnels that end because a sound target is silent for a while.
  Scenario Outline: Streams through a peer come whole after a silence of <silence> s beside <event>
    Given a routed site with 3 engines whose streams may pause for 500 ms
    When 6 streams are read through a peer whose targets are silent for <silence> s, beside <event>
    Then all of these streams come whole

    Examples:
      | silence | event                 |
      | 1       | nothing else          |
      | 4       | nothing else          |
      | 4       | a SIGTERM of the peer |

  # Guards against plain answers that end because their target is silent within the body.
  Scenario Outline: Answers of <route> whose targets are silent for 2 s within the body come whole
    Given a routed site with 3 engines whose streams may pause for 200 ms
    When 4 answers of <route> are read whose targets are silent for 2 s within
    Then all of these answers come whole

    Examples:
      | route |
      | /get/ |
      | /do/  |
