Feature: Configurations are sent compressed

  Scenario: A keeper sends a large configuration compressed
    Given a keeper that holds a configuration of 1400 routes
    When a gateway without one asks it
    Then the answer takes at most 100000 bytes of its link
    And it expands to the keeper's configuration
    And one that has the version is sent nothing

  Scenario Outline: Compressed content that is <fault> is refused
    Then expanding content that is <fault> fails with 7002

    Examples:
      | fault     |
      | cut short |
      | broken    |
      | too large |
