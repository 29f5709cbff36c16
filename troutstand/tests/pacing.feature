Feature: Schedulers and gateways together respect the rate limit of a target

  # Guards against exceeding a target's rate limit: it is shared by all gateways, holds while
  # responses name it, and is handed over between schedulers.

  Background:
    Given a dispatcher for 3 targets of 2 slots

  Scenario Outline: The rate limit is used fully and not exceeded
    When t1 names a limit of <limit> a second to gateway-1
    And gateway-1 and gateway-2 ask for all places for 12 s
    Then t1 got <least> to <most> requests, and at most <window> within 4 s

    # A limit below 0.25 a second is probed once in 4 s, since only a response shows its end.
    Examples:
      | limit | least | most | window |
      | 2     | 22    | 25   | 9      |
      | 1.7   | 19    | 21   | 8      |
      | 0.4   | 4     | 5    | 3      |
      | 0     | 2     | 4    | 2      |
      | 30    | 330   | 368  | 128    |

  Scenario: A scheduler of half of the gateways uses half of the rate limit
    When the dispatcher decides for 0.5 of the gateways
    And t1 names a limit of 2 a second to gateway-1
    And gateway-1 and gateway-2 ask for all places for 12 s
    Then t1 got 10 to 13 requests, and at most 5 within 4 s

  Scenario: A scheduler whose share of the gateways changes uses its new share
    When t1 names a limit of 4 a second to gateway-1
    And the dispatcher decides for 0.25 of the gateways
    And gateway-1 and gateway-2 ask for all places for 12 s
    Then t1 got 10 to 13 requests, and at most 5 within 4 s

  Scenario: A scheduler that takes over does not exceed the rate limit
    When t1 names a limit of 0.5 a second to gateway-1
    Then requests of gateway-1 go to t2, t3 only for 1.9 s
    And after 0.2 s requests of gateway-1 go to t1 as well

  Scenario Outline: Many gateways that decide locally share one rate limit
    When <gateways> gateways decide alone for 60 s about a target that names <limit> a second
    Then together they sent <least> to <most> requests, and at most <window> within 4 s

    Examples:
      | gateways | limit | least | most | window |
      | 7        | 1.7   | 80    | 104  | 15     |
      | 73       | 2     | 80    | 122  | 17     |
      | 73       | 20    | 900   | 1210 | 125    |

  Scenario: Idle time does not accumulate permits for a burst
    When 73 gateways that know a limit of 2 a second ask nothing for 300 s, then all at once
    Then together they sent 0 to 17 requests, and at most 17 within 4 s

  Scenario: A rate limit ends with a response to a later request that does not name it
    When t1 names a limit of 1 a second to gateway-1
    And 1.1 s pass at the dispatcher
    And a request of gateway-2 is answered by t1
    Then t1 names no limit

  Scenario: A response to an earlier request does not end a rate limit
    Given gateway-1 has a request at t1
    When t1 names a limit of 1 a second to gateway-2
    And the request at t1 succeeds
    Then t1 names a limit of 1 a second

  Scenario: A new rate limit replaces the previous one
    When t1 names a limit of 1 a second to gateway-1
    And t1 names a limit of 6 a second to gateway-2
    And gateway-1 and gateway-2 ask for all places for 12 s
    Then t1 got 68 to 74 requests, and at most 26 within 4 s

  Scenario Outline: Only a response ends a rate limit
    When t1 names a limit of 1 a second to gateway-1
    And <what>
    Then t1 names a limit of 1 a second

    Examples:
      | what                                  |
      | the list of targets is read again     |
      | the list of targets lacks t1 once     |
      | 20 s pass at the dispatcher           |
      | t1 rejects 1 requests of gateway-1    |

  Scenario: A new incarnation of a target has no rate limit
    When t1 names a limit of 1 a second to gateway-1
    And the list of targets shows a new incarnation of t1
    Then t1 names no limit

  Scenario: An ejected target is probed within its rate limit
    When t1 names a limit of 0.5 a second to gateway-1
    And t1 loses each of its answers for 12 s while all others are ejected
    Then t1 got 3 to 6 requests, and at most 3 within 4 s

  Scenario: If all targets name a rate limit, late requests are refused on arrival with a Retry-After
    When each target names a limit of 0.5 a second to gateway-1
    And 0.1 s pass at the dispatcher
    Then a request of gateway-1 with an objective of 0.5 s is refused at once with 3014 after 0.667 s

  Scenario: If all targets name a rate limit, a request that can be placed in time waits
    When each target names a limit of 2 a second to gateway-1
    Then a request of gateway-1 with an objective of 1 s waits
    And it has a target after 0.6 s

  Scenario: Free slots of targets with a rate limit do not admit more requests
    Given every other target is full
    When t1 names a limit of 5 a second to gateway-1
    Then the service has no spare capacity

  # Gateways store the limit for the next scheduler.

  Scenario: A gateway reports a rate limit to each scheduler while it holds
    When the book hears in an answer of 100 s that t1 takes 1.7 a second
    Then it tells deciders of a limit of 1.7 for t1
    When the book hears in an answer of 99 s that t1 takes any number
    Then it tells deciders of a limit of 1.7 for t1
    When the book hears in an answer of 101 s that t1 takes any number
    Then it tells deciders of no limit for t1

  Scenario Outline: Parsing of the rate limit in a response
    When an answer has status <status> and the headers <headers>
    Then it names <limit>

    Examples:
      | status | headers                             | limit |
      | 200    | X-Target-Limit: 1.7                 | 1.7   |
      | 500    | X-Target-Limit: 3                   | 3     |
      | 503    | X-Target-Limit: .5, Retry-After: 1  | 0.5   |
      | 200    | X-Target-Limit:  2                  | 2     |
      | 200    | X-Target-Limit: 0                   | 0     |
      | 200    | X-Target-Limit: 100000              | 1e5   |
      | 421    | X-Target-Limit: 1.7                 | none  |
      | 200    | X-Target-Limit: -1                  | none  |
      | 200    | X-Target-Limit: nan                 | none  |
      | 200    | X-Target-Limit: inf                 | none  |
      | 200    | X-Target-Limit: 1_0                 | none  |
      | 200    | X-Target-Limit: 2/s                 | none  |
      | 200    | X-Other: 2                          | none  |
