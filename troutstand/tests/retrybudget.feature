Feature: Every repeated run counts against the retry budget

  # Guards against runs repeated on new connections that no budget counts.
  Scenario Outline: Requests on closed kept connections are repeated within the budget, <decider>
    Given a routed site without retries beside the ratio, whose targets reset each kept connection
    And <decider>
    When 80 repeatable requests are sent one after the other
    Then at most 0.2 runs per request are repeated, and some are
    And no refusal of a request that ran says that it has not run

    Examples:
      | decider                       |
      | schedulers that decide        |
      | gateways that decide alone    |

  Scenario: A repeated run that the retry budget refuses is not charged to its workspace's limit
    Given a decider whose retry budget is used up
    When the charge of a repeated run is asked for
    Then it is refused with 3011 and the limit has as much left as before
    And the charge of a run that is not repeated is granted
