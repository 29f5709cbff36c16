Feature: A gateway uses the first live scheduler and monitors the others

  Scenario: The first live scheduler in order is used
    Given schedulers a, b and c that answered 0.1, 0.1 and 0.1 s ago
    Then a gateway that decides locally chooses a

  Scenario: A gateway that decides locally does not switch at once to a scheduler without gateways
    Given schedulers a, b and c that answered 0.1, 9 and 9 s ago
    And a has been live for 0.1 s and is used by 0 gateways
    Then a gateway that decides locally chooses nobody
    When a has been live for 0.1 s and is used by 1 gateways
    Then a gateway that decides locally chooses a

  Scenario: A gateway switches away from a silent scheduler to the next
    Given schedulers a, b and c that answered 2, 0.1 and 0.1 s ago
    Then a gateway that uses a chooses b

  Scenario: An unanswered request makes a gateway switch before the next heartbeat is due
    Given schedulers a, b and c that answered 0.5, 0.1 and 0.1 s ago
    And a sends a heartbeat every 0.7 s and has not answered for 0.3 s
    Then a gateway that uses a chooses a
    When a sends a heartbeat every 0.7 s and has not answered for 0.5 s
    Then a gateway that uses a chooses b
    When a answers
    Then a gateway that uses a chooses a

  # A scheduler that is busy attaching many gateways at once must not look failed, or some gateways move
  # on and two schedulers fill the same targets.
  Scenario: A scheduler that gateways just switched to has time to attach them all
    Given schedulers a, b and c that answered 9, 0.6 and 0.1 s ago
    And b was switched to 0.6 s ago and has not answered for 0.6 s
    Then a gateway that uses b chooses b
    When b was switched to 1.1 s ago and has not answered for 1.1 s
    Then a gateway that uses b chooses c

  Scenario: A scheduler that a gateway switched to long ago gets no extra time
    Given schedulers a, b and c that answered 9, 0.6 and 0.1 s ago
    And b was switched to 3 s ago and has not answered for 0.5 s
    Then a gateway that uses b chooses c

  Scenario: A gateway's own stall does not count as silence of its scheduler
    Given schedulers a, b and c that answered 2, 2 and 2 s ago
    And a sends a heartbeat every 0.7 s and has not answered for 2 s
    When the gateway itself stalled for 1.9 s
    Then a gateway that uses a chooses a

  Scenario: A scheduler marked as lost is not used again before it answers
    Given schedulers a, b and c that answered 0.7, 9 and 9 s ago
    Then a gateway that uses a chooses nobody
    And a gateway that decides locally chooses a
    When a was marked as lost
    Then a gateway that decides locally chooses nobody

  Scenario: A gateway does not return to a recovered scheduler while most gateways use another
    Given schedulers a, b and c that answered 0.1, 0.1 and 0.1 s ago
    And a has been live for 60 s and is used by 0 gateways
    And b has been live for 60 s and is used by 6 gateways
    Then a gateway that uses b chooses b
    And a gateway that decides locally chooses b

  Scenario: Gateways split between two schedulers converge on the one that most use
    Given schedulers a, b and c that answered 0.1, 0.1 and 0.1 s ago
    And a has been live for 60 s and is used by 2 gateways
    And b has been live for 1 s and is used by 4 gateways
    Then a gateway that uses a chooses a
    When b has been live for 2 s and is used by 4 gateways
    Then a gateway that uses a chooses b
    And a gateway that uses b chooses b

  Scenario: Of two schedulers with equally many gateways the first in order is used
    Given schedulers a, b and c that answered 0.1, 0.1 and 0.1 s ago
    And a has been live for 60 s and is used by 3 gateways
    And b has been live for 60 s and is used by 3 gateways
    Then a gateway that uses a chooses a
    And a gateway that uses b chooses a

  Scenario: Without a live scheduler a gateway decides locally
    Given schedulers a, b and c that answered 9, 9 and 9 s ago
    Then a gateway that uses a chooses nobody

  Scenario: Only the next two schedulers in order get frequent heartbeats
    Given schedulers a, b, c, d and e that all answered 0.1 s ago
    When a gateway that uses a sets its heartbeat periods
    Then b and c get more frequent heartbeats than d and e
    When a gateway that uses nobody sets its heartbeat periods
    Then d and e get heartbeats as often as b and c, and are woken

  Scenario: A gateway that decides locally waits for the scheduler that others use
    Given schedulers a, b and c that answered 0.1, 9 and 9 s ago
    And a has been live for 0.3 s and reports that 5 gateways use b
    Then a gateway that decides locally chooses nobody
    When a has been live for 1 s and reports that 5 gateways use b
    Then a gateway that decides locally chooses a

  Scenario: A gateway that decides locally switches at once to a live scheduler that others use
    Given schedulers a, b and c that answered 0.1, 0.1 and 9 s ago
    And a has been live for 0.3 s and reports that 5 gateways use b
    And b has been live for 0.1 s and is used by 5 gateways
    Then a gateway that decides locally chooses b

  Scenario: A gateway learns from its own scheduler that most gateways use another
    Given schedulers a, b and c that answered 0.1, 0.1 and 9 s ago
    And a has been live for 60 s and is used by 2 gateways
    And b has been live for 60 s and is used by 0 gateways
    Then a gateway that uses a chooses a
    When a has been live for 60 s and reports that 5 gateways use b
    Then a gateway that uses a chooses b
    And a gateway that decides locally chooses b

  # After a loss of all power gateways must not split between schedulers that start at the same time,
  # or two schedulers fill the same targets.
  Scenario Outline: Gateways that all restart converge on one scheduler at once
    When <gateways> gateways and schedulers that are ready after <ready> s start in 50 random runs
    Then two schedulers are used for <mean> s on average and <most> s at most
    And the first one is used within 0.1 s of being ready, on average

    Examples:
      | gateways | ready               | mean | most |
      | 6        | 0.10, 0.00          | 0.1  | 0.3  |
      | 6        | 0.00, 0.13, 0.05    | 0.1  | 0.3  |
      | 6        | 0.50, 0.00          | 0.1  | 0.3  |
      | 20       | 1.20, 0.40, 0.00    | 0.1  | 0.3  |
      | 73       | 0.10, 0.00, 0.30    | 0.1  | 0.3  |

  Scenario: A restarted scheduler does not draw gateways from an established one
    Given schedulers a, b and c that answered 0.1, 0.1 and 9 s ago
    And a has been ready for 0.5 s and is used by 0 gateways
    And b has been ready for 60 s and is used by 1 gateways
    Then a gateway that uses b chooses b
    And a gateway that decides locally chooses b

  Scenario: While all schedulers have just started, gateways switch at once to the most used one
    Given schedulers a, b and c that answered 0.1, 0.1 and 9 s ago
    And a has been ready for 0.5 s and is used by 1 gateways
    And b has been ready for 1.2 s and is used by 5 gateways
    Then a gateway that uses b chooses b
    And a gateway that uses a chooses b

  Scenario: Of two just started schedulers with equally many gateways the first in order is used
    Given schedulers a, b and c that answered 0.1, 0.1 and 9 s ago
    And a has been ready for 0.5 s and is used by 3 gateways
    And b has been ready for 0.6 s and is used by 3 gateways
    Then a gateway that uses b chooses a
    And a gateway that uses a chooses a

  Scenario: Gateways do not switch to a scheduler that starts later while all use another
    Given schedulers a, b and c that answered 0.1, 0.1 and 9 s ago
    And a has been ready for 0.1 s and is used by 0 gateways
    And b has been ready for 0.6 s and is used by 6 gateways
    Then a gateway that uses b chooses b
