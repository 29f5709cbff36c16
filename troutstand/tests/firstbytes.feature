Feature: Logs compare expected and actual first-byte times

  Scenario: A response is compared with the placement of its own request
    Given a log in which request a was expected in 100 ms and came in 250 ms
    And request b was expected in 100 ms and came in 50 ms
    And an answer of request c without a placement
    Then the ratios are 2.5 and 0.5
    And only the answer of request a is late for an objective of 200 ms
