Feature: Target measurements belong to one incarnation

  Background:
    Given a service whose 2 targets tell when they were born

  Scenario: The measurements of a target are reset when it restarts under its id
    Given the first target runs 2 requests, has prompt parts cached and known speeds
    When the list shows a new incarnation of the first target
    Then the first target runs nothing, caches nothing and its speeds are unknown

  Scenario: An ejected target that restarts gets requests at once
    Given the first target is ejected
    When the list shows a new incarnation of the first target
    Then the first target gets a request

  Scenario Outline: Measurements of the same incarnation are kept
    Given the first target runs 2 requests, has prompt parts cached and known speeds
    When the list shows <what> of the first target
    Then the first target runs 2 requests, and its speeds are known

    Examples:
      | what                 |
      | the same incarnation |
      | no time              |

  Scenario: A stale target list of a peer does not restore an older incarnation
    Given the first target runs 2 requests, has prompt parts cached and known speeds
    When a peer's list shows an older incarnation of the first target
    Then the first target runs 2 requests, and its speeds are known

  Scenario: A target whose wall clock was set back still gets a new incarnation
    Given the first target runs 2 requests, has prompt parts cached and known speeds
    When the list shows a new incarnation with an earlier time of the first target
    Then the first target runs nothing, caches nothing and its speeds are unknown

  Scenario: An attaching gateway does not report measurements of an ended incarnation
    When a gateway reports a request and speeds of an earlier incarnation of the first target
    Then the first target runs nothing, caches nothing and its speeds are unknown
    When a gateway reports a request and speeds of the present incarnation of the first target
    Then the first target runs 1 requests, and its speeds are known

  Scenario: A gateway drops the speeds of an ended incarnation
    Given a gateway that measured speeds of two incarnations of a target
    Then it reports those of the later incarnation only

  Scenario Outline: The platform's list gives a start time or none
    When an entry of the platform's list has the start time <born>
    Then its target has the start time <told>

    Examples:
      | born          | told          |
      | 1768089512914 | 1768089512914 |
      | null          | 0             |
      | "now"         | 0             |
      | true          | 0             |
      | -5            | 0             |
      | 1.5           | 0             |
