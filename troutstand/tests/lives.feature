Feature: What is known of a target hangs on its life

  Background:
    Given a service whose 2 targets tell when they were born

  Scenario: A target that starts again under its id is unknown again
    Given the first target runs 2 requests, holds prompt parts and has shown its speeds
    When the list tells of a new life of the first target
    Then the first target runs nothing, holds nothing and its speeds are unknown

  Scenario: A target that starts again while it is held off gets work at once
    Given the first target is held off for its failures
    When the list tells of a new life of the first target
    Then the first target gets a request

  Scenario Outline: The same life is not forgotten
    Given the first target runs 2 requests, holds prompt parts and has shown its speeds
    When the list tells <what> of the first target
    Then the first target runs 2 requests, and its speeds are known

    Examples:
      | what           |
      | the same life  |
      | no time        |

  Scenario: A list of a peer that lags brings no older life back
    Given the first target runs 2 requests, holds prompt parts and has shown its speeds
    When a peer's list tells of an older life of the first target
    Then the first target runs 2 requests, and its speeds are known

  Scenario: A target whose time of day was set back has a new life all the same
    Given the first target runs 2 requests, holds prompt parts and has shown its speeds
    When the list tells of a new life with an earlier time of the first target
    Then the first target runs nothing, holds nothing and its speeds are unknown

  Scenario: A gateway that attaches brings nothing of a life that is over
    When a gateway brings a run and speeds of an earlier life of the first target
    Then the first target runs nothing, holds nothing and its speeds are unknown
    When a gateway brings a run and speeds of the present life of the first target
    Then the first target runs 1 requests, and its speeds are known

  Scenario: A gateway forgets the speeds of a life that is over
    Given a gateway that saw speeds of two lives of a target
    Then it passes on those of the later life only

  Scenario Outline: The platform's list tells a time of start, or none
    When an entry of the platform's list is born <born>
    Then its target is born <told>

    Examples:
      | born          | told          |
      | 1768089512914 | 1768089512914 |
      | null          | 0             |
      | "now"         | 0             |
      | true          | 0             |
      | -5            | 0             |
      | 1.5           | 0             |
