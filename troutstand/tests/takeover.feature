Feature: Whoever begins to decide takes over what is known

  Scenario: A prompt that a target still reads counts for a scheduler that takes over
    Given a scheduler that takes over a prompt of 20000 tokens at each target
    And the first target has begun to answer, the second has not
    When a request of 1000 tokens arrives there
    Then the first target gets it
    And the second target has 20000 tokens before it

  Scenario: Gateways that decide alone do not all choose the same target
    Given 40 gateways that decide alone for 16 like targets
    When each of them places one request
    Then no target gets more than 12 of them

  Scenario: A scheduler that hears of all requests takes the first of like targets
    Given a scheduler of 16 like targets
    When it places one request twice from the beginning
    Then both went to the same target
