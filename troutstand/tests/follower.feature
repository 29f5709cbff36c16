Feature: A process gets its configuration over slow links

  Scenario: A configuration that takes longer than the usual timeout arrives
    Given a follower whose keepers' answers take 1.2 s to come whole
    When it asks 5 times
    Then it holds the configuration
    And it asks with the usual patience again

  Scenario: Unresponsive keepers do not raise the timeout without bound
    Given a follower whose keepers' answers take 60 s to come whole
    When it asks 10 times
    Then no ask waited longer than 1.6 s

  Scenario: An unreadable configuration is logged once with the reason
    Given a follower whose keepers send a broken configuration
    When it asks 5 times
    Then it has logged once that the configuration is unreadable, and why
