Feature: Under the worst recorded load the higher kinds of requests are served first

  # Ten seconds recorded at 73 gateways: 9,785 requests in three bursts, a fifth of
  # the highest kind and half of the lowest, while a quarter of 45 engines of four slots is dark and a third is
  # 4.4 times slower than the others.

  Scenario: Higher kinds are refused last, whatever their workspace
    When the recorded load is replayed
    Then none of the highest kind is refused, and 0.99 of it is in time
    And 0.55 of the second kind is in time

  Scenario Outline: What the orders of tiers bring: <order>
    When the recorded load is replayed, ranked by <order>
    Then <second> of the second kind and <lowest> of the lowest is in time

    Examples:
      | order           | second | lowest |
      | workspace_first | 0.45   | 0.05   |
      | shed_by_route   | 0.48   | 0.05   |
      | route_first     | 0.55   | 0.02   |

  Scenario: The settings and the calls agree on the order of tiers
    Then a process without the setting ranks by the same order as a call without one
