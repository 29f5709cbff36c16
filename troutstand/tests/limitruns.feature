Feature: Every run at a target counts against its workspace's limit, with real processes

  Scenario: A limit that is asked for three times is used and not exceeded
    Given a routed site with a workspace that is limited
    When for 14 s three times as much is asked for, with nothing
    Then no window holds more runs than the limit and its tolerated excess allow
    And some window holds at least 0.9 of the limit with its excess

  Scenario: A workspace without a limit loses nothing beside one that is refused
    Given a routed site with a workspace that is limited
    When for 10 s three times as much is asked for, beside 20 calls a second without a limit
    Then no window holds more runs than the limit and its tolerated excess allow
    And at least 0.99 of the calls without a limit are answered

  # Guards against runs after the first one that no limit counts.
  Scenario Outline: Second runs are charged when targets <fault>
    Given a routed site with a workspace that is limited
    When for 14 s three times as much is asked for in <kind> requests, and targets <fault>
    Then no window holds more runs than the limit and its tolerated excess allow
    And second runs were part of it
    And some window holds at least 0.9 of the limit alone

    Examples:
      | kind       | fault                         |
      | repeatable | reset half of the connections |
      | repeatable | lose half of the answers      |
      | resumable  | cut half of the streams       |

  # Guards against a charge that expires from the window sooner than the run that it stands for.
  Scenario: Requests that waited are charged when they are sent
    Given a routed site with a workspace that is limited
    When for 16 s three times as much is asked for, and targets are slow, then quick
    Then no window holds more runs than the limit and its tolerated excess allow
    And some window holds at least 0.9 of the limit alone
