Feature: Time in which a host is suspended counts, and measures nothing

  Scenario: Only the clock's own module reads the steady clock
    Then no other module of the product reads a steady clock

  Scenario: The clock goes on while the steady one stands still
    Given a clock that others can suspend
    When the host is suspended for 5 s
    Then 5 s have passed, and a suspend of 5 s is told once

  Scenario: A process that is only held up tells of no suspend
    Given a clock that others can suspend
    When 5 s pass while the host is awake
    Then 5 s have passed, and no suspend is told

  Scenario: A timer that ran out while the host was suspended is seen on waking
    Given a clock that others can suspend
    When a timer of 60 s is set and the host is suspended for 61 s
    Then it fires within 1 s, and one of 120 s does not

  Scenario: Whoever holds a lease and is suspended past it decides nothing
    Given a clock that others can suspend
    And a holder of a lease of 2 s
    When the host is suspended for 3 s
    Then the lease is not held by the clock, though the steady one says so

  Scenario: A gateway that wakes is not ready before it has heard of a keeper
    Given a clock that others can suspend
    And a process that has just heard of a keeper
    When the host is suspended for 5 s
    Then what it knows is not fresh until a keeper answers

  Scenario: What was measured over a suspend teaches nothing
    Given a service with 1 targets of 2 slots
    When a request ends whole after 0.2 s, and one of which nothing was measured
    Then requests are taken to hold their slot for 0.2 s
