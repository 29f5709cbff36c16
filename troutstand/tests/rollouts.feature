Feature: A service moves to another version of its targets' software, or stays

  Scenario: An order is taken once, and another one waits for its end
    Given a rollout book in which "v1" serves
    When "v2" is ordered within 12 s
    Then the order for "v2" is in_progress
    And the same order again changes nothing
    And an order for "v3" is refused with 6012
    When the order goes to switching, then to completed
    Then "v2" serves
    And the order cannot go to rolled_back

  Scenario: A version that was rolled back is ordered again only by a new order
    Given a rollout book in which "v1" serves
    When "v2" is ordered within 12 s
    And the order goes to rolled_back
    Then "v1" serves
    And the same order again changes nothing
    When "v2" is ordered within 20 s
    Then the order for "v2" is in_progress

  Scenario: An order can't be completed before the service is switched over
    Given a rollout book in which "v1" serves
    When "v2" is ordered within 12 s
    Then the order cannot go to completed

  Scenario: Which version serves is noted once, and then changes by orders only
    Given an empty rollout book
    When targets of version "v1" are seen
    And targets of version "v9" are seen
    Then "v1" serves

  Scenario Outline: <case>
    Given a rollout book in which "v1" serves
    And the order for "v2" is <state>, <confirmed>
    Then targets of "v1" are <one> and targets of "v2" are <two>
    And targets of "v3" are closed

    Examples:
      | case                                              | state       | confirmed   | one    | two    |
      | A version on trial gets a sample                  | in_progress | confirmed   | open   | canary |
      | Unconfirmed, it may have been rolled back unheard | in_progress | unconfirmed | open   | closed |
      | After the switch the old version gets nothing new | switching   | confirmed   | closed | open   |
      | An unconfirmed switch may have been taken back    | switching   | unconfirmed | open   | closed |
      | A completed version serves alone                  | completed   | unconfirmed | closed | open   |
      | A version that was rolled back gets nothing       | rolled_back | confirmed   | open   | closed |

  Scenario: Without an order a version that nobody knows gets nothing
    Given a rollout book in which "v1" serves
    Then targets of "v1" are open and targets of "v2" are closed

  Scenario: A process that missed the end of a rollout serves with what is left
    Given a rollout book in which "v1" serves
    And the order for "v2" is in_progress, unconfirmed
    Then where only targets of "v2" are left, they are open

  Scenario: A version on trial gets its share of each route and no more
    Given a decider with 4 targets of "v1" and 4 of "v2", which is on trial
    When 400 requests of route "a" and 100 of route "b" come and go
    Then targets of "v2" got 16 of route "a" and 4 of route "b"
    And each target of "v2" got 5 or 5 of them

  Scenario: A service with few requests still tries a version often enough to judge it
    Given a decider with 4 targets of "v1" and 4 of "v2", which is on trial
    And most gateways ask this decider
    When 75 requests of route "a" and 25 of route "b" come and go
    Then targets of "v2" got 18 of route "a" and 6 of route "b"

  # Answers to the previous order's version must not roll back the order that follows it.
  Scenario: The answers of one order say nothing of the next
    Given a decider with 4 targets of "v1" and 4 of "v2", which is on trial
    And all answers of "v2" failed
    Then the order is judged bad
    And an order that the decider does not follow yet is judged unproven

  Scenario: What would outlast the old version goes to the new one, within its exposure
    Given a decider with 4 targets of "v1" and 4 of "v2", which is on trial
    And the version on trial is good so far, and 1 s are left
    When 400 requests of route "a" that take 3 s come and go
    Then targets of "v2" got 35 of route "a" and 0 of route "b"

  Scenario: What ends in time stays at the old version
    Given a decider with 4 targets of "v1" and 4 of "v2", which is on trial
    And the version on trial is good so far, and 1 s are left
    When 400 requests of route "a" that take 0.1 s come and go
    Then targets of "v2" got 16 of route "a" and 0 of route "b"

  Scenario: A request that failed at a version on trial is tried again at the other
    Given a decider with 4 targets of "v1" and 4 of "v2", which is on trial
    When 25 second tries of route "a" come and go
    Then targets of "v2" got 0 of route "a" and 0 of route "b"

  Scenario: A version found bad gets nothing more before the keepers agree
    Given a decider with 4 targets of "v1" and 4 of "v2", which is on trial
    When the decider finds the version bad
    And 400 requests of route "a" and 100 of route "b" come and go
    Then targets of "v2" got 0 of route "a" and 0 of route "b"

  Scenario: Lists read before a process knows the rollout book let nothing slip
    Given a decider with 4 targets of "v1" and 4 of "v2", which nobody ordered
    When 400 requests of route "a" and 100 of route "b" come and go
    Then targets of "v2" got 0 of route "a" and 0 of route "b"

  Scenario Outline: <case>
    Given <count> targets of each version
    When the version on trial answers for 9 s and <what>
    Then it is judged <verdict>

    Examples:
      | case                                                  | count | what                          | verdict |
      | A sound version is good                               | 6     | is sound                      | good    |
      | A version that fails two in five answers is bad       | 6     | fails 0.4 of them             | bad     |
      | One target that fails by itself rolls nothing back    | 6     | fails at one target           | good    |
      | A version that fails on one route alone is bad        | 6     | fails 0.6 of route "a"        | bad     |
      | A version that fails only lately is bad               | 6     | fails 0.5 of them from 6 s on | bad     |
      | A slow version is bad                                 | 6     | is slow in 0.8 of them        | bad     |
      | What fails at both versions does not count against it | 6     | fails 0.4 of them as others   | good    |
      | A version without answers proves nothing              | 6     | gets nothing                  | unproven |

  Scenario: A service is switched over no sooner than the exposure allows
    Given an order of 12 s that is in_progress for 10.5 s, judged good
    And all requests may go to the new version for 0.5 s
    Then its next step is none

  Scenario: With others deciding too a switch settles before it is completed
    Given an order of 12 s that is switching for 0.5 s, judged good
    And 0.9 of the gateways ask this scheduler
    Then its next step is none

  Scenario: A scheduler that few gateways ask ends no rollout by its own evidence alone
    Given an order of 12 s that is in_progress for 11.5 s, judged unproven
    And 0.2 of the gateways ask this scheduler
    Then its next step is none

  Scenario Outline: <case>
    Given an order of 12 s that is <state> for <elapsed> s, judged <verdict>
    And <running> requests run at the old version
    Then its next step is <step>

    Examples:
      | case                                                   | state       | elapsed | verdict  | running | step        |
      | A bad version is rolled back at once                   | in_progress | 2       | bad      | 9       | rolled_back |
      | A good one stays on trial while there is time          | in_progress | 6       | good     | 9       | none        |
      | The service is switched in time for what runs          | in_progress | 11.1    | good     | 9       | switching   |
      | A suspicion has until the last moment to pass          | in_progress | 11.1    | suspect  | 9       | none        |
      | A suspect version does not take over                   | in_progress | 11.7    | suspect  | 9       | rolled_back |
      | An unproven version does not take over                 | in_progress | 11.7    | unproven | 9       | rolled_back |
      | Where one scheduler decides all, a switch holds at once | switching   | 0.1     | good     | 0       | completed   |
      | What runs at the old version ends before it is told    | switching   | 2       | good     | 1       | none        |
      | The rollout completes when nothing runs there          | switching   | 2       | good     | 0       | completed   |
      | A switched service goes back when the evidence turns   | switching   | 2       | bad      | 0       | rolled_back |
      | A run that does not end cannot hold the rollout up     | switching   | 11      | good     | 1       | completed   |
