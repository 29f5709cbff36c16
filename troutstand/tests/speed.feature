Feature: How fast a target reads prompts is learnt from its first bytes

  Scenario: The constant and the time for each token are told apart
    Given a target that takes 100 ms and 40 ms a 1000 tokens until its first byte
    When it has answered 30 requests of 200 to 8000 tokens
    Then a prompt of 500 tokens is expected to take 120 ms, within 10 in 100
    And a prompt of 20000 tokens is expected to take 900 ms, within 10 in 100

  Scenario: Nothing learnt yet
    Given a target that takes 100 ms and 40 ms a 1000 tokens until its first byte
    Then a prompt of 500 tokens is expected to take what the prior says

  Scenario: Times that fall with the length of the prompt do not make a token cost nothing
    Given a target that takes 500 ms and -40 ms a 1000 tokens until its first byte
    When it has answered 30 requests of 200 to 8000 tokens
    Then a longer prompt is still expected to take longer
