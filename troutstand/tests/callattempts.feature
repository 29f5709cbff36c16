Feature: Attempts beside a silent one neither end nor starve it

  Scenario: A silent attempt whose path is cut is not reported as its target's silence
    Given a call whose first target has lost its path, and whose second one answers
    When its attempts are played
    Then the second target answers
    And the first attempt is reported as silent with its path lost

  Scenario: A placement that waits is asked for anew when the silent attempt breaks
    Given a call whose silent attempt breaks while another placement waits
    When its attempts are played
    Then the first target answers a new attempt
    And the last placement leaves out no target

  Scenario: Few attempts that cannot be sent are placed beside a silent one
    Given a call whose silent attempt goes on after 1.5 s and whose other targets refuse connections
    When its attempts are played
    Then the first target answers
    And at most 5 placements were made

  Scenario: An attempt that ends without data does not replace a silent one
    Given a call whose silent attempt goes on and whose second target ends its response without data
    When its attempts are played
    Then the first target answers

  Scenario: The head of a silent attempt does not replace an attempt that sends data
    Given a call whose silent attempt sends only a head, and whose second target sends data later
    When its attempts are played
    Then the second target answers

  Scenario: Data is relayed while the fault of another attempt is found out
    Given a call whose second attempt breaks just before the silent one goes on
    When its attempts are played
    Then the first target answers within 0.15 s of its data

  Scenario: An attempt that was not sent does not count as one
    Given a call whose silent attempt goes on while the second one has no connection yet
    When its attempts are played
    Then the first target answers
    And another attempt is still allowed
    And the second attempt is reported as not sent

  # Guards against a placement that is withdrawn at its decider by the end of the one before.
  Scenario Outline: A placement that waits is given up before another is asked for when the silent attempt is <ending>
    Given a call whose silent attempt is <ending> while another placement waits
    When its attempts are played
    Then the first target answers a new attempt
    And the placement that waited was given up before the last one was asked for

    Examples:
      | ending      |
      | turned_away |
      | failed      |
      | broken      |
