Feature: The scheduler keeps the order of tiers and places requests by the targets' state

  Background:
    Given a scheduler with 2 targets of 2 slots and tiers of rank 0 to 3

  Scenario: Waiting requests are granted by rank
    Given all slots run requests of rank 0
    When requests of rank 3, 1, 2 and 0 are submitted and slots become free
    Then they are granted in the order 0, 1, 2, 3

  Scenario: Running lower work is cancelled before higher work is shed
    Given all slots run requests of rank 3
    When a request of rank 0 is submitted and its slack is nearly over
    Then one request of rank 3 is cancelled and none of rank 0 is shed

  Scenario: Queued lower work is shed before higher work
    Given all slots run requests of rank 0
    And requests of rank 2 wait
    When more requests of rank 1 are submitted than can start in time
    Then every waiting request of rank 2 was shed before the first of rank 1

  Scenario: A refusal comes at once, with a jittered Retry-After
    Given all slots run requests of rank 0
    When 200 requests of rank 0 are submitted at once
    Then those that cannot start in time are refused at once
    And their retry times differ

  Scenario: A prompt goes to the target that has its prefix cached
    When a long prompt has run on one target
    And the same prompt is submitted again
    Then it is granted the same target

  Scenario: A target that stalls gets nothing until its backoff ends
    When a request ends on one target with a stall
    Then the next 2 requests are granted the other target
    And after the backoff one request tries it again

  Scenario: A draining target gets no new requests
    When the table lists one target as draining
    Then the next 2 requests are granted the other target
    When the platform's list shows the other target as draining
    Then a request is refused with 3008

  Scenario: Workspaces share a tier by weight
    Given workspaces with weights 3 and 1 that always have requests waiting
    When 80 slots become free
    Then they got 60 and 20 grants, give or take 2

  Scenario: A workspace over its rate limit is refused
    Given a workspace limited to 100 tokens a second
    When it submits 50 requests of 100 tokens at once
    Then at most 6 are granted and the others refused with 3003

  # Guards against a full token bucket at each new scheduler, on top of what the one before granted.
  Scenario: A scheduler that takes over grants a workspace no second burst
    Given a scheduler that took over 1 s ago
    And a workspace limited to 100 tokens a second
    When it submits 50 requests of 100 tokens at once
    Then at most 1 are granted and the others refused with 3003

  Scenario: Requests of a deleted target do not count against their workspace's limit
    Given a workspace limited to 1 running request
    When a request runs on a target that is then deleted
    Then the next request is granted

  Scenario Outline: No tier inversion under random load, seed <seed>
    When 3000 random events are fed, seed <seed>
    Then no request was shed while a lower one waited or ran on its targets
    And every request got exactly one final answer

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
