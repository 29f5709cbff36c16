Feature: Recorded traces replay to the recorded or stated outcome

  Scenario: What a daemon's scheduler recorded replays to the same actions
    Given the shared site
    When a mixed load has run on the shared site
    Then the scheduler's trace replays without a difference

  Scenario: A replay tells where the outcome differs
    Given a recorded trace whose last grant names another target
    Then the replay differs in one step

  Scenario Outline: The trace <trace> comes to its stated outcome
    When the trace "<trace>" is replayed
    Then every action is the stated one

    Examples:
      | trace                                  |
      | command-frozen-before-send.jsonl       |
      | command-late-claim.jsonl               |
      | command-closed-attempt.jsonl           |
      | edit-lost-answer.jsonl                 |
      | edit-race-lost.jsonl                   |
