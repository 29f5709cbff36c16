Feature: Targets' backoff and draining notices affect placement

  # Covers single decisions; resting.feature covers the same failure with whole processes.

  Background:
    Given a dispatcher for 3 targets of 2 slots

  Scenario: A gateway sends nothing to a target during the backoff that it was asked for
    When t1 asks gateway-1 for a backoff of 3 s
    Then requests of gateway-1 go to t2, t3 only for 2.9 s
    And after 0.2 s requests of gateway-1 go to t1 as well

  Scenario: A successful response to an earlier request does not end a backoff
    Given gateway-1 has a request at t1
    When t1 asks gateway-1 for a backoff of 3 s
    And the request at t1 succeeds
    Then requests of gateway-1 go to t2, t3 only for 2.9 s

  Scenario: A newer target list does not end a backoff
    When t1 asks gateway-1 for a backoff of 3 s
    And the list of targets is read again
    Then requests of gateway-1 go to t2, t3 only for 2.9 s

  Scenario: A restarted target with the same name is not in backoff any more
    When t1 asks gateway-1 for a backoff of 3 s
    And the list of targets shows a new incarnation of t1
    Then after 0 s requests of gateway-1 go to t1 as well

  Scenario: Other gateways prefer targets that asked no gateway for a backoff
    When t1 asks gateway-1 for a backoff of 3 s
    Then requests of gateway-2 go to t2, t3 only for 2.9 s

  Scenario: Other gateways probe a target in backoff if no other target has a free slot
    Given every other target is full
    When t1 asks gateway-1 for a backoff of 3 s
    And 0.3 s pass at the dispatcher
    Then 1 of 4 requests of gateway-2 with two attempts gets t1

  Scenario: A request with a single attempt waits for a target that asked no gateway for a backoff
    Given every other target is full
    When t1 asks gateway-1 for a backoff of 3 s
    And 0.3 s pass at the dispatcher
    Then 0 of 4 requests of gateway-2 with one attempt gets t1

  Scenario: A target that answers another gateway is not suspect for that gateway any more
    Given every other target is full
    When t1 asks gateway-1 for a backoff of 3 s
    And 0.3 s pass at the dispatcher
    And a request of gateway-2 with two attempts is answered by t1
    Then 2 of 4 requests of gateway-2 with one attempt gets t1
    And requests of gateway-1 do not go to t1

  Scenario: A request is refused at once if all targets are in backoff for longer than its objective
    When each target asks gateway-1 for a backoff of 3 s
    Then a request of gateway-1 with an objective of 1 s is refused at once with 3013 after 3 s
    And a request of gateway-1 with an objective of 6 s waits

  Scenario: A waiting request is refused as soon as all targets are in backoff for longer than its objective
    Given every target is full
    And a request of gateway-1 waits
    When each target asks gateway-1 for a backoff of 3 s
    And 0.1 s pass at the dispatcher
    Then the request that waited is refused with 3013

  Scenario: Free slots of targets in backoff do not count as spare capacity
    Given every other target is full
    When t1 asks gateway-1 for a backoff of 3 s
    Then the service has no spare capacity

  # A target that rejects requests without Retry-After has nothing running and must not attract
  # further requests.
  Scenario Outline: A target that rejects requests without Retry-After is avoided with exponential backoff
    When t1 rejects <count> requests of gateway-1
    Then requests of gateway-2 go to t2, t3 only for <avoided> s
    And after <later> s requests of gateway-2 go to t1 as well

    Examples:
      | count | avoided | later |
      | 1     | 0.04    | 0.11  |
      | 3     | 0.19    | 0.11  |
      | 9     | 0.75    | 0.15  |

  Scenario: A successful response resets the exponential backoff
    When t1 rejects 9 requests of gateway-1
    And 0.9 s pass at the dispatcher
    And a request of gateway-2 is answered by t1
    And t1 rejects 1 requests of gateway-1
    Then requests of gateway-2 go to t2, t3 only for 0.04 s
    And after 0.11 s requests of gateway-2 go to t1 as well

  Scenario: A target that announces that it is draining gets nothing, even if the list shows it as ready
    When t1 tells gateway-1 that it is draining
    And the list of targets is read again
    Then requests of gateway-2 go to t2, t3 only for 2.9 s

  Scenario Outline: A slot that becomes free at a draining target is not used
    Given every target is full
    And a request of gateway-1 waits
    When <leaving>
    And a request at t1 succeeds
    Then the waiting request has no target

    Examples:
      | leaving                                    |
      | t1 tells gateway-1 that it is draining          |
      | the list of targets shows t1 as draining   |

  Scenario: A target that was listed as draining and is ready again gets requests
    When t1 tells gateway-1 that it is draining
    And the list of targets shows t1 as draining, then as ready
    Then after 0 s requests of gateway-1 go to t1 as well

  Scenario: A draining target in a gateway's list is avoided until the next target list
    When a gateway's own list shows t1 as draining
    Then requests of gateway-1 go to t2, t3 only for 0.5 s
    When the list of targets is read again
    Then after 0 s requests of gateway-1 go to t1 as well

  Scenario: An outdated list does not override a target's draining notice
    When t1 tells gateway-1 that it is draining
    And a gateway's own list shows t1 as draining
    And the list of targets is read again
    Then requests of gateway-1 go to t2, t3 only for 0.5 s

  Scenario: A gateway that attaches reports draining targets and backoffs
    When a gateway that attaches reports that t1 is draining and t2 wants a backoff of 3 s
    Then requests of that gateway go to t3 only for 2.9 s

  # A gateway also enforces both itself, since its scheduler may have older information.

  Scenario: A gateway stores backoff and draining notices
    When the notice store learns that t1 wants a backoff of 2 s and t2 is draining
    Then the notice store blocks t1 as in backoff for 2 s and t2 as draining for ever
    And it reports both to schedulers, and t2 alone after 2 s

  Scenario: A shorter backoff does not cut short a longer one
    When the notice store learns that t1 wants a backoff of 3 s, then 0.5 s
    Then the notice store blocks t1 as in backoff for 3 s

  Scenario: A new incarnation of a target is not blocked
    When the notice store learns that t1 of life 5 is draining
    Then the notice store allows requests to t1 of life 6
    And the notice store blocks t1 of life 5 as draining

  Scenario Outline: An outdated list does not unblock a draining target
    When the notice store learns that t2 is draining
    And lists show t2 as <first>, and <later> s later as <second>
    Then t2 is <judged>

    Examples:
      | first    | later | second   | judged    |
      | ready    | 60    | ready    | kept back |
      | draining | 5     | ready    | kept back |
      | draining | 60    | draining | kept back |
      | draining | 20    | ready    | let pass  |
      | gone     | 5     | ready    | kept back |
      | gone     | 20    | gone     | let pass  |

  Scenario Outline: Backoff and draining notice are read from a response
    When an answer has status <status> and the headers <headers>
    Then it asks for a backoff of <rest> s and <leaving> that its target is draining

    Examples:
      | status | headers                          | rest | leaving |
      | 503    | X-Not-Run: 1, Retry-After: 3     | 3    | denies  |
      | 503    | X-Not-Run: 1, Retry-After: 0.25  | 0.25 | denies  |
      | 503    | Retry-After: 3                   | 3    | denies  |
      | 503    | X-Not-Run: 1                     | 0    | denies  |
      | 503    | X-Not-Run: 1, Retry-After: soon  | 0    | denies  |
      | 503    | X-Not-Run: 1, Retry-After: -1    | 0    | denies  |
      | 503    | X-Not-Run: 1, Retry-After: nan   | 0    | denies  |
      | 503    | X-Not-Run: 1, Retry-After: 1e300 | 3600 | denies  |
      | 429    | X-Not-Run: 1, Retry-After: 2     | 2    | denies  |
      | 429    | Retry-After: 2                   | 0    | denies  |
      | 200    | Retry-After: 2                   | 0    | denies  |
      | 200    | X-Target-Leaving: 1              | 0    | says    |
      | 200    | X-Target-Leaving: 0              | 0    | denies  |
      | 503    | X-Target-Leaving: 1, Retry-After: 1 | 1 | says    |

  Scenario Outline: A request that was placed before its target's notice arrived is not sent
    Given a target that answers <answer>
    When two repeatable requests are sent one after the other
    Then the second one is blocked and does not reach the target

    Examples:
      | answer                             |
      | that it is full and wants rest     |
      | in full and that it leaves         |
