Feature: A gateway asks the first live scheduler and watches the others

  Scenario: The first live scheduler in order is asked
    Given schedulers a, b and c that answered 0.1, 0.1 and 0.1 s ago
    Then a gateway that decides alone asks a

  Scenario: A scheduler that is silent is left for the next
    Given schedulers a, b and c that answered 2, 0.1 and 0.1 s ago
    Then a gateway that asks a asks b

  Scenario: An earlier one is gone back to only once it is steady
    Given schedulers a, b and c that answered 0.1, 0.1 and 0.1 s ago
    And a has been live for 1 s
    Then a gateway that asks b asks b
    When a has been live for 2 s
    Then a gateway that asks b asks a

  Scenario: Without a live one the gateway decides alone
    Given schedulers a, b and c that answered 9, 9 and 9 s ago
    Then a gateway that asks a asks nobody

  Scenario: Only the next two in order are watched closely
    Given schedulers a, b, c, d and e that all answered 0.1 s ago
    When a gateway that asks a spaces its heartbeats
    Then b and c are watched more closely than d and e
    When a gateway that asks nobody spaces its heartbeats
    Then d and e are watched as closely as b and c, and woken
