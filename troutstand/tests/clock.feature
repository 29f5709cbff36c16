Feature: Host suspension counts as elapsed time and is left out of measurements

  Scenario: Only the clock module reads the steady clock
    Then no other module of the product reads a steady clock

  Scenario: The clock advances during a suspension in which the steady clock does not
    Given a clock that others can suspend
    When the host is suspended for 5 s
    Then 5 s have passed, and a suspend of 5 s is told once

  Scenario: A stalled process reports no suspension
    Given a clock that others can suspend
    When 5 s pass while the host is awake
    Then 5 s have passed, and no suspend is told

  Scenario: A timer that expired during a suspension fires on resume
    Given a clock that others can suspend
    When a timer of 60 s is set and the host is suspended for 61 s
    Then it fires within 1 s, and one of 120 s does not

  Scenario: A lease that expired during a suspension is no longer held
    Given a clock that others can suspend
    And a holder of a lease of 2 s
    When the host is suspended for 3 s
    Then the lease is not held by the clock, though the steady one says so

  Scenario: A resumed gateway is not ready until a keeper answers
    Given a clock that others can suspend
    And a process that has just heard of a keeper
    When the host is suspended for 5 s
    Then what it knows is not fresh until a keeper answers

  Scenario: Times measured across a suspension are not learned from
    Given a service with 1 targets of 2 slots
    When a request ends whole after 0.2 s, and one of which nothing was measured
    Then requests are taken to hold their slot for 0.2 s
