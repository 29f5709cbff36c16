Feature: A target's prefill speed is estimated from its first byte times

  Scenario: The constant and the time per token are estimated separately
    Given a target that takes 100 ms and 40 ms a 1000 tokens until its first byte
    When it has answered 30 requests of 200 to 8000 tokens
    Then a prompt of 500 tokens is expected to take 120 ms, within 10 in 100
    And a prompt of 20000 tokens is expected to take 900 ms, within 10 in 100

  Scenario: Without samples the prior is used
    Given a target that takes 100 ms and 40 ms a 1000 tokens until its first byte
    Then a prompt of 500 tokens is expected to take what the prior says

  Scenario: The time per token stays positive if measured times fall with the prompt length
    Given a target that takes 500 ms and -40 ms a 1000 tokens until its first byte
    When it has answered 30 requests of 200 to 8000 tokens
    Then a longer prompt is still expected to take longer
