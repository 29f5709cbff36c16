Feature: A decision needs a majority of keepers, and no more

  # A keeper that is cut off answers nothing; a failed reply of another one must not end the decision.

  Scenario: A keeper is cut off and the link to another one is lost once
    Given 3 keepers of which the last answers nothing
    And the first answer of another keeper is lost with its link
    When a value is proposed with a timeout of 1 s
    Then it is decided within 0.5 s

  Scenario: A keeper is cut off and the others have a newer keeper set
    Given 3 keepers of which the last answers nothing
    And the others have a newer keeper set
    When a value is proposed with a timeout of 1 s
    Then it is decided within 0.5 s

  Scenario: A keeper is cut off and another one answers slowly
    Given 3 keepers of which the last answers nothing
    And another keeper takes 0.3 s for each answer
    When a value is proposed with a timeout of 1 s
    Then it is decided within 0.9 s

  Scenario: No majority answers
    Given 3 keepers of which the last answers nothing
    And another keeper is lost for good
    When a value is proposed with a timeout of 1 s
    Then the proposal ends after 1 s without a decision
