Feature: Rollouts of a new version of a service's targets, and rollbacks

  Scenario: An order is idempotent, and another one is refused until it has ended
    Given a rollout state in which "v1" serves
    When "v2" is ordered within 12 s
    Then the order for "v2" is in_progress
    And the same order again changes nothing
    And an order for "v3" is refused with 6012
    When the order goes to switching, then to completed
    Then "v2" serves
    And the order cannot go to rolled_back

  Scenario: A version that was rolled back needs a new order
    Given a rollout state in which "v1" serves
    When "v2" is ordered within 12 s
    And the order goes to rolled_back
    Then "v1" serves
    And the same order again changes nothing
    When "v2" is ordered within 20 s
    Then the order for "v2" is in_progress

  Scenario: An order can't be completed before the service is switched over
    Given a rollout state in which "v1" serves
    When "v2" is ordered within 12 s
    Then the order cannot go to completed

  Scenario: The serving version is recorded once and then changes by orders only
    Given an empty rollout state
    When targets of version "v1" are seen
    And targets of version "v9" are seen
    Then "v1" serves

  Scenario Outline: <case>
    Given a rollout state in which "v1" serves
    And "v3" serves beside it
    And the order for "v2" is <state>, <confirmed>
    Then targets of "v1" are <one> and targets of "v2" are <two>
    And targets of "v3" are <one>
    And targets of "v4", which the book lacks, are closed

    Examples:
      | case                                              | state       | confirmed   | one     | two    |
      | A canary version gets a sample                    | in_progress | confirmed   | open    | canary |
      | An unconfirmed canary may have been rolled back   | in_progress | unconfirmed | open    | closed |
      | After the switch the old version gets nothing new | switching   | confirmed   | resumed | open   |
      | An unconfirmed switch may have been rolled back   | switching   | unconfirmed | open    | closed |
      | A completed version serves alone                  | completed   | unconfirmed | resumed | open   |
      | A version that was rolled back gets nothing       | rolled_back | confirmed   | open    | closed |

  Scenario: A version that no order names serves once the book has it
    Given a rollout state in which "v1" serves
    Then targets of "v1" are open and targets of "v2" are closed
    When targets of version "v2" are seen
    Then targets of "v1" are open and targets of "v2" are open

  Scenario Outline: Where only targets of <left> are left, they are <admission>: <case>
    Given a rollout state in which "v1" serves
    And the order for "v2" is <state>, confirmed
    Then where only targets of "<left>" are left, they are <admission>

    Examples:
      | case                                          | state       | left | admission |
      | a version that nobody ordered                 | in_progress | v4   | open      |
      | a version that was rolled back                | rolled_back | v2   | closed    |
      | a version that a completed order has replaced | completed   | v1   | open      |
      | a version that nobody ordered, at a roll-back | rolled_back | v4   | open      |

  Scenario: The version in force follows the targets once its own have left without an order
    Given a rollout state in which "v1" serves
    When "v1" has left, and targets of version "v2" are seen
    Then "v2" serves

  Scenario: The version in force stays while an order is under way
    Given a rollout state in which "v1" serves
    When "v2" is ordered within 12 s
    And "v1" has left, and targets of version "v2" are seen
    Then "v1" serves

  Scenario: A process that missed the end of a rollout uses the only version that is left
    Given a rollout state in which "v1" serves
    And the order for "v2" is in_progress, unconfirmed
    Then where only targets of "v2" are left, they are open

  Scenario: A canary version gets its share of each route and no more
    Given a scheduler with 4 targets of "v1" and 4 of "v2", which is the canary
    When 400 requests of route "a" and 100 of route "b" start and end
    Then targets of "v2" got 16 of route "a" and 4 of route "b"
    And each target of "v2" got 5 or 5 of them

  Scenario: A service with few requests still sends a canary enough of them to evaluate it
    Given a scheduler with 4 targets of "v1" and 4 of "v2", which is the canary
    And most gateways use this scheduler
    When 75 requests of route "a" and 25 of route "b" start and end
    Then targets of "v2" got 18 of route "a" and 6 of route "b"

  # Answers to the previous order's version must not roll back the order that follows it.
  Scenario: The outcomes of one order do not count for the next
    Given a scheduler with 4 targets of "v1" and 4 of "v2", which is the canary
    And all answers of "v2" failed
    Then the order is judged bad
    And an order that the scheduler does not follow yet is judged unproven

  Scenario: Requests that would outlast the old version go to the new one, within its exposure limit
    Given a scheduler with 4 targets of "v1" and 4 of "v2", which is the canary
    And the canary is good so far, and 1 s are left
    When 400 requests of route "a" that take 3 s start and end
    Then targets of "v2" got 35 of route "a" and 0 of route "b"

  Scenario: Requests that end in time stay at the old version
    Given a scheduler with 4 targets of "v1" and 4 of "v2", which is the canary
    And the canary is good so far, and 1 s are left
    When 400 requests of route "a" that take 0.1 s start and end
    Then targets of "v2" got 16 of route "a" and 0 of route "b"

  Scenario: A request that failed at the canary version is retried at the other version
    Given a scheduler with 4 targets of "v1" and 4 of "v2", which is the canary
    When 25 second attempts of route "a" start and end
    Then targets of "v2" got 0 of route "a" and 0 of route "b"

  Scenario: A canary found bad is blocked before the keepers confirm the rollback
    Given a scheduler with 4 targets of "v1" and 4 of "v2", which is the canary
    When the scheduler finds the canary bad
    And 400 requests of route "a" and 100 of route "b" start and end
    Then targets of "v2" got 0 of route "a" and 0 of route "b"

  Scenario: Target lists read before the rollout state is known admit no unordered version
    Given a scheduler with 4 targets of "v1" and 4 of "v2", which nobody ordered
    When 400 requests of route "a" and 100 of route "b" start and end
    Then targets of "v2" got 0 of route "a" and 0 of route "b"

  Scenario Outline: <case>
    Given <count> targets of each version
    When the canary answers for 9 s and <what>
    Then it is judged <verdict>

    Examples:
      | case                                                  | count | what                          | verdict |
      | A healthy version is good                             | 6     | is sound                      | good    |
      | A version that fails two in five answers is bad       | 6     | fails 0.4 of them             | bad     |
      | One failing target rolls nothing back                 | 6     | fails at one target           | good    |
      | A version that fails on one route alone is bad        | 6     | fails 0.6 of route "a"        | bad     |
      | A version that starts to fail late is bad             | 6     | fails 0.5 of them from 6 s on | bad     |
      | A slow version is bad                                 | 6     | is slow in 0.8 of them        | bad     |
      | Failures at both versions do not count against it     | 6     | fails 0.4 of them as others   | good    |
      | A version without answers is unproven                 | 6     | gets nothing                  | unproven |

  Scenario: A service is switched over no sooner than the exposure limit allows
    Given an order of 12 s that is in_progress for 10.5 s, judged good
    And all requests may go to the new version for 0.5 s
    Then its next step is none

  Scenario: A switch is not completed at once while some gateways use other schedulers
    Given an order of 12 s that is switching for 0.5 s, judged good
    And 0.9 of the gateways use this scheduler
    Then its next step is none

  Scenario: A scheduler that few gateways use ends no rollout by its own outcomes alone
    Given an order of 12 s that is in_progress for 11.5 s, judged unproven
    And 0.2 of the gateways use this scheduler
    Then its next step is none

  Scenario Outline: <case>
    Given an order of 12 s that is <state> for <elapsed> s, judged <verdict>
    And <running> requests run at the old version
    Then its next step is <step>

    Examples:
      | case                                                   | state       | elapsed | verdict  | running | step        |
      | A bad version is rolled back at once                   | in_progress | 2       | bad      | 9       | rolled_back |
      | A good one stays a canary while there is time          | in_progress | 6       | good     | 9       | none        |
      | The service is switched early enough for running requests | in_progress | 11.1    | good     | 9       | switching   |
      | A suspect version is kept until the last moment        | in_progress | 11.1    | suspect  | 9       | none        |
      | A suspect version does not take over                   | in_progress | 11.7    | suspect  | 9       | rolled_back |
      | An unproven version does not take over                 | in_progress | 11.7    | unproven | 9       | rolled_back |
      | With a single scheduler a switch completes at once      | switching   | 0.1     | good     | 0       | completed   |
      | Requests at the old version end before completion      | switching   | 2       | good     | 1       | none        |
      | The rollout completes when nothing runs there          | switching   | 2       | good     | 0       | completed   |
      | A switched service is rolled back if it turns bad      | switching   | 2       | bad      | 0       | rolled_back |
      | A request that does not end cannot block the rollout   | switching   | 11      | good     | 1       | completed   |
