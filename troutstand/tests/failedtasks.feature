Feature: A task that fails is logged, and what it served goes on
  Guards against one unexpected error that ends a background loop or closes a link for good.

  Scenario: A background loop that fails is logged and started again
    Given the node of a routed process
    When a background loop fails 3 times and then goes on
    Then it runs, and 3 failed tasks are logged under its name

  Scenario: A background loop of a host's process that fails is logged and started again
    Given the node of a host's process
    When a background loop fails 3 times and then goes on
    Then it runs, and 3 failed tasks are logged under its name

  Scenario: A message whose handler fails is logged and refused, and its link stays open
    Given two routed processes, of which one fails to handle each second message
    When 4 messages are sent over one link
    Then 2 are answered, 2 are refused with 9001, and the link is opened once
    And 2 failed messages are logged
