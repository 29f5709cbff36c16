Feature: Host suspension counts as elapsed time and is left out of measurements

  Scenario: Only the clock module reads the steady clock
    Then no other module of the product reads a steady clock

  Scenario: The clock advances during a suspension in which the steady clock does not
    Given a clock that can be suspended
    When the host is suspended for 5 s
    Then 5 s have passed, and a suspension of 5 s is reported once

  Scenario: A stalled process reports no suspension
    Given a clock that can be suspended
    When 5 s pass while the host is awake
    Then 5 s have passed, and no suspension is reported

  Scenario: A timer that expired during a suspension fires on resume
    Given a clock that can be suspended
    When a timer of 60 s is set and the host is suspended for 61 s
    Then it fires within 1 s, and one of 120 s does not

  Scenario: A lease that expired during a suspension is no longer held
    Given a clock that can be suspended
    And a holder of a lease of 2 s
    When the host is suspended for 3 s
    Then the lease is not held by the clock, though it is by the steady clock

  Scenario: A resumed gateway is not ready until a keeper answers
    Given a clock that can be suspended
    And a process that has just had contact with a keeper
    When the host is suspended for 5 s
    Then its keeper contact is stale until a keeper answers

  Scenario: Times measured across a suspension are not learned from
    Given a service with 1 targets of 2 slots
    When a request ends whole after 0.2 s, and another without a measurement
    Then the estimated slot time of requests is 0.2 s
