Feature: Under the worst recorded load the higher kinds of requests are served first

  # Ten seconds recorded at 73 gateways: three bursts of requests, a fifth of the highest kind and half of
  # the lowest, while a quarter of the 45 engines is down and a third is 4.4 times slower than the others.

  Scenario: Higher kinds are refused last, whatever their workspace
    When the recorded load is replayed
    Then none of the highest kind is refused, and 0.99 of it is in time
    And 0.55 of the second kind is in time

  Scenario Outline: Requests in time with the order of tiers <order>
    When the recorded load is replayed, ranked by <order>
    Then <second> of the second kind and <lowest> of the lowest is in time

    Examples:
      | order           | second | lowest |
      | workspace_first | 0.45   | 0.05   |
      | shed_by_route   | 0.48   | 0.05   |
      | route_first     | 0.55   | 0.02   |

  Scenario: The settings and the calls agree on the order of tiers
    Then a process without the setting ranks by the same order as a call without one

  # Repeated scans of a long queue over many open targets must not use up the scheduler's processor time.
  Scenario: Requests that wait for better targets do not delay the decisions
    Given 266 requests wait, and 15 engines are open that suit none of them
    When 10 ticks pass
    Then none of them scanned more than 64 requests
    And each of the requests was scanned twice

  Scenario: A request behind many waiting ones gets the open engine that suits it
    Given 266 requests wait, and 15 engines are open that suit none of them
    When a request that suits them comes last
    Then it has an engine within 5 ticks

  # A first byte or an end at one target must not cause a scan of all the other open targets.
  Scenario: An event at one engine causes no scan of the others
    Given 266 requests wait, and 15 engines are open that suit none of them
    When a request begins to answer at one of the open engines, and one ends there
    Then no other engine was scanned, and that one at most 8 times for each
