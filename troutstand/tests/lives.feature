Feature: Target measurements belong to one incarnation

  Background:
    Given a service whose 2 targets tell when they were born

  Scenario: The measurements of a target are reset when it restarts under its id
    Given the first target runs 2 requests, holds prompt parts and has shown its speeds
    When the list tells of a new life of the first target
    Then the first target runs nothing, holds nothing and its speeds are unknown

  Scenario: An ejected target that restarts gets requests at once
    Given the first target is held off for its failures
    When the list tells of a new life of the first target
    Then the first target gets a request

  Scenario Outline: Measurements of the same incarnation are kept
    Given the first target runs 2 requests, holds prompt parts and has shown its speeds
    When the list tells <what> of the first target
    Then the first target runs 2 requests, and its speeds are known

    Examples:
      | what           |
      | the same life  |
      | no time        |

  Scenario: A stale target list of a peer does not restore an older incarnation
    Given the first target runs 2 requests, holds prompt parts and has shown its speeds
    When a peer's list tells of an older life of the first target
    Then the first target runs 2 requests, and its speeds are known

  Scenario: A target whose wall clock was set back still gets a new incarnation
    Given the first target runs 2 requests, holds prompt parts and has shown its speeds
    When the list tells of a new life with an earlier time of the first target
    Then the first target runs nothing, holds nothing and its speeds are unknown

  Scenario: An attaching gateway does not report measurements of an ended incarnation
    When a gateway brings a run and speeds of an earlier life of the first target
    Then the first target runs nothing, holds nothing and its speeds are unknown
    When a gateway brings a run and speeds of the present life of the first target
    Then the first target runs 1 requests, and its speeds are known

  Scenario: A gateway drops the speeds of an ended incarnation
    Given a gateway that saw speeds of two lives of a target
    Then it passes on those of the later life only

  Scenario Outline: The platform's list gives a start time or none
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
