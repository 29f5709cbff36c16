Feature: Entry processes and their scheduler respect rate limits and leaving headers of targets

  # Guards against ignoring the rate limit or the leaving header in the responses of an engine or
  # service worker.

  Scenario: An engine gets no more than the rate limit it names
    Given a site of 3 engines of which 1 names a limit of 1 requests a second
    When for 7 s 30 prompts a second are asked for
    Then that engine got at most 11 requests within 4 s later than 1 s after its first
    And every prompt is answered

  Scenario: A service worker gets no more than the rate limit it names
    Given a site whose first service worker names a limit of 1 requests a second
    When for 7 s 30 calls a second are made
    Then that worker got at most 11 calls within 4 s later than 1 s after its first
    And at least 1 of the calls are answered with 200

  Scenario: An engine gets no more than the rate limit it names in rejections
    Given a site of 3 engines of which 1 turns requests away for 0.05 s and names a limit of 1
    When for 7 s 30 prompts a second are asked for
    Then that engine turned at most 11 requests away within 4 s later than 1 s after its first
    And every prompt is answered

  Scenario: An engine that announces its leaving gets no more requests, whatever the target list shows
    Given a site of 3 engines of which 1 says that it leaves
    When for 4 s 30 prompts a second are asked for
    Then that engine got nothing later than 1 s after its first
    And every prompt is answered

  # Decision tests on a simulated clock.

  Scenario: The rate limit is used fully and not exceeded
    Given a scheduler with 2 trusted targets of 2 slots
    When the first target names a limit of 2 a second
    And 200 short requests come within 10 s
    Then the first target got 18 to 21 of them

  Scenario: A rate limit survives a change of scheduler
    Given a scheduler with 2 trusted targets of 2 slots
    When an entry process that heard of a limit of 0.5 a second reports to another scheduler
    And 40 short requests come within 1.5 s
    Then the first target got 0 to 0 of them

  Scenario: A rate limit ends with a response that does not name it
    Given a scheduler with 2 trusted targets of 2 slots
    When the first target names a limit of 2 a second
    And 10 short requests come within 1 s
    And the first target names no limit any more
    And 200 short requests come within 10 s
    Then the first target got 60 to 200 of them

  Scenario: If all targets name a rate limit, late requests are shed with a Retry-After
    Given a scheduler with 1 trusted targets of 2 slots
    When the first target names a limit of 0.25 a second
    Then a request that waits for 1 s at most is shed at once with 3014 and comes back after 4 s, spread up to twice as long

  Scenario Outline: Expiry of a leaving header
    Given a scheduler with 2 trusted targets of 2 slots
    When the first target says that it leaves
    And <then>
    And 40 short requests come within 2 s
    Then the first target got <least> to <most> of them

    Examples:
      | then                                                | least | most |
      | 50 s pass by, in which it does not say so again     | 0     | 0    |
      | 61 s pass by, in which it does not say so again     | 10    | 40   |
      | the list shows it as leaving, and then no more      | 10    | 40   |
      | the table gives it another address                  | 10    | 40   |

  # Guards against a Retry-After that counts slots which the target's rate limit leaves unused.
  Scenario: Slots of a target with a rate limit do not shorten the Retry-After
    Given a scheduler with 2 trusted targets of 2 slots
    When the first target names a limit of 0.25 a second
    And 20 requests wait
    Then the wait that a scheduler of the other target alone expects is expected here
