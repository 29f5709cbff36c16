Feature: The keeper set replaces failed keepers, and only these

  Scenario Outline: A keeper is replaced only when it has failed
    Given a set of keepers a, b and c for the loss of <losses> disks
    When <event>
    Then the next set <outcome>

    Examples:
      | losses | event                                  | outcome                      |
      | 1      | all are heard                          | is not due                   |
      | 1      | c is silent for 9 s                    | is not due                   |
      | 1      | c is silent for 9 s and d waits        | has d copying in c's place   |
      | 1      | c is silent for 1 s and d waits        | is not due                   |
      | 1      | c returns with another disk            | has c copying in c's place   |
      | 1      | d waits                                | is not due                   |
      | 1      | a hears all but itself and d waits     | is not due                   |
      | 2      | d waits                                | has d copying beside c       |
      | 1      | all but a were silent since a stalled and d waits | is not due    |

  Scenario: Only one disk copies at a time
    Given a set of keepers a, b and c for the loss of 2 disks
    When d waits
    And the next set is in force and e waits
    Then the next set is not due

  Scenario: A copying disk that times out is replaced by another
    Given a set of keepers a, b and c for the loss of 1 disks
    When c is silent for 9 s and d waits
    And the next set is in force, d is silent for 9 s and e waits
    Then the next set has e copying in d's place

  Scenario Outline: A copying disk reads a majority of all members
    Given a set of <size> keepers
    Then a copying disk reads <needed> voters

    Examples:
      | size | needed |
      | 3    | 2      |
      | 5    | 3      |

  Scenario: A dead process's contact expires even if others keep passing it on
    Given a contact last heard 3 s ago
    When the same contact is passed on with its age for 25 s
    Then the contact expires

  # A call that reached only some of the keepers must be repeatable, as its error message advises.
  Scenario Outline: The call that makes the initial set is idempotent
    When a set of a, b and c is formed where <before>
    Then <outcome>

    Examples:
      | before                                           | outcome                          |
      | nobody knows of a set                            | it holds a, b and c in epoch 1   |
      | a and b hold that very set                       | it holds a, b and c in epoch 1   |
      | all hold that very set                           | it holds a, b and c in epoch 1   |
      | a and b hold that set, and c has another disk now | it is refused with 6008          |
      | a holds a set of a and d                         | it is refused with 6008          |
      | a and b hold a set of epoch 2                    | it is refused with 6008          |
