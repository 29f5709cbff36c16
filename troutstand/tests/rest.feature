Feature: What targets say of themselves decides where requests go

  # Covers single decisions; resting.feature covers the same failure with whole processes.

  Background:
    Given a desk for 3 targets of 2 slots

  Scenario: A rest binds the gateway that was asked for as long as it lasts
    When t1 asks gateway-1 for 3 s of rest
    Then requests of gateway-1 go to t2, t3 only for 2.9 s
    And after 0.2 s requests of gateway-1 go to t1 as well

  Scenario: A whole answer of an earlier request does not end a rest
    Given gateway-1 has a request at t1
    When t1 asks gateway-1 for 3 s of rest
    And the request at t1 ends whole
    Then requests of gateway-1 go to t2, t3 only for 2.9 s

  Scenario: A newer list of targets does not end a rest
    When t1 asks gateway-1 for 3 s of rest
    And the list of targets is read again
    Then requests of gateway-1 go to t2, t3 only for 2.9 s

  Scenario: A target that starts again under its name is not resting any more
    When t1 asks gateway-1 for 3 s of rest
    And the list of targets tells of a new life of t1
    Then after 0 s requests of gateway-1 go to t1 as well

  Scenario: Other gateways prefer targets that asked nobody for rest
    When t1 asks gateway-1 for 3 s of rest
    Then requests of gateway-2 go to t2, t3 only for 2.9 s

  Scenario: Other gateways try a resting target where no other has a place
    Given every other target is full
    When t1 asks gateway-1 for 3 s of rest
    And 0.3 s pass at the desk
    Then 1 of 4 requests of gateway-2 with two attempts gets t1

  Scenario: A request without another attempt waits for a target that asked nobody
    Given every other target is full
    When t1 asks gateway-1 for 3 s of rest
    And 0.3 s pass at the desk
    Then 0 of 4 requests of gateway-2 with one attempt gets t1

  Scenario: A target that answers another gateway is trusted again by that
    Given every other target is full
    When t1 asks gateway-1 for 3 s of rest
    And 0.3 s pass at the desk
    And a request of gateway-2 with two attempts is answered by t1
    Then 2 of 4 requests of gateway-2 with one attempt gets t1
    And requests of gateway-1 do not go to t1

  Scenario: Who must leave all targets alone for longer than there is time is refused at once
    When each target asks gateway-1 for 3 s of rest
    Then a request of gateway-1 with an objective of 1 s is refused at once with 3013 after 3 s
    And a request of gateway-1 with an objective of 6 s waits

  Scenario: Who waits is refused as soon as all targets want rest for longer than there is time
    Given every target is full
    And a request of gateway-1 waits
    When each target asks gateway-1 for 3 s of rest
    And 0.1 s pass at the desk
    Then the request that waited is refused with 3013

  Scenario: Free places of resting targets are no reason to admit more
    Given every other target is full
    When t1 asks gateway-1 for 3 s of rest
    Then the service has no room to spare

  # A target that rejects requests without Retry-After has nothing running and must not attract
  # further requests.
  Scenario Outline: A target that turns requests away without a time is avoided for longer each time
    When t1 turns <count> requests of gateway-1 away
    Then requests of gateway-2 go to t2, t3 only for <avoided> s
    And after <later> s requests of gateway-2 go to t1 as well

    Examples:
      | count | avoided | later |
      | 1     | 0.04    | 0.11  |
      | 3     | 0.19    | 0.11  |
      | 9     | 0.75    | 0.15  |

  Scenario: An answer ends the doubt
    When t1 turns 9 requests of gateway-1 away
    And 0.9 s pass at the desk
    And a request of gateway-2 is answered by t1
    And t1 turns 1 requests of gateway-1 away
    Then requests of gateway-2 go to t2, t3 only for 0.04 s
    And after 0.11 s requests of gateway-2 go to t1 as well

  Scenario: A target that says that it leaves gets nothing, whatever the list shows
    When t1 tells gateway-1 that it leaves
    And the list of targets is read again
    Then requests of gateway-2 go to t2, t3 only for 2.9 s

  Scenario Outline: What ends at a target that leaves makes room for nobody
    Given every target is full
    And a request of gateway-1 waits
    When <leaving>
    And a request at t1 ends whole
    Then the one that waits has no target

    Examples:
      | leaving                                    |
      | t1 tells gateway-1 that it leaves          |
      | the list of targets shows t1 as draining   |

  Scenario: A target that was shown as leaving and is ready again gets work
    When t1 tells gateway-1 that it leaves
    And the list of targets shows t1 as draining, then as ready
    Then after 0 s requests of gateway-1 go to t1 as well

  Scenario: What another process's list says of leaving holds until the next list
    When a gateway's own list shows t1 as leaving
    Then requests of gateway-1 go to t2, t3 only for 0.5 s
    When the list of targets is read again
    Then after 0 s requests of gateway-1 go to t1 as well

  Scenario: A list that lags behind both does not take back what the target said
    When t1 tells gateway-1 that it leaves
    And a gateway's own list shows t1 as leaving
    And the list of targets is read again
    Then requests of gateway-1 go to t2, t3 only for 0.5 s

  Scenario: A target that leaves is told of by gateways that attach
    When a gateway that attaches brings that t1 leaves and t2 wants 3 s of rest
    Then requests of that gateway go to t3 only for 2.9 s

  # A gateway also enforces both itself, since its scheduler may have older information.

  Scenario: A gateway keeps a rest and a leaving
    When the book hears that t1 wants 2 s of rest and t2 leaves
    Then the book keeps back t1 as resting for 2 s and t2 as leaving for ever
    And it tells deciders of both, and of t2 alone after 2 s

  Scenario: A longer rest is not cut short by a later one
    When the book hears that t1 wants 3 s of rest, then 0.5 s
    Then the book keeps back t1 as resting for 3 s

  Scenario: A new life of a target is not kept back
    When the book hears that t1 of life 5 leaves
    Then the book lets requests to t1 of life 6 pass
    And the book keeps back t1 of life 5 as leaving

  Scenario Outline: A list that lags does not bring a leaving target back
    When the book hears that t2 leaves
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

  Scenario Outline: What an answer asks for
    When an answer has status <status> and the headers <headers>
    Then it asks for <rest> s of rest and <leaving> that its target leaves

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

  Scenario Outline: What was placed before its target spoke is not sent any more
    Given a target that answers <answer>
    When two repeatable requests are sent one after the other
    Then the second one is kept back and does not reach the target

    Examples:
      | answer                             |
      | that it is full and wants rest     |
      | in full and that it leaves         |
