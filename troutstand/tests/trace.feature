Feature: Recorded traces replay to the recorded or expected outcome

  Scenario: The trace of a daemon's scheduler replays to the same actions
    Given the shared site
    When a mixed load has run on the shared site
    Then the scheduler's trace replays without a difference

  Scenario: A replay reports where the outcome differs
    Given a recorded trace whose last grant names another target
    Then the replay differs in one step

  Scenario Outline: The trace <trace> replays to its expected outcome
    When the trace "<trace>" is replayed
    Then every action is the expected one

    Examples:
      | trace                                  |
      | command-frozen-before-send.jsonl       |
      | command-late-claim.jsonl               |
      | command-closed-attempt.jsonl           |
      | edit-lost-answer.jsonl                 |
      | edit-race-lost.jsonl                   |
