Feature: A caller's optional headers never fail its call

  # Guards against an infinite number that is converted to an integer.
  Scenario Outline: An output estimate of <value> is ignored
    Given a call with 100 prompt tokens and at most 50 output tokens
    When its output estimate is <value>
    Then 50 output tokens are expected

    Examples:
      | value |
      | inf   |
      | -inf  |
      | nan   |
      | -5    |
      | many  |

  Scenario: An output estimate below the limit is used
    Given a call with 100 prompt tokens and at most 50 output tokens
    When its output estimate is 20
    Then 20 output tokens are expected

  Scenario Outline: A deadline of <value> leaves the route's timeout in force
    Given a call with 100 prompt tokens and at most 50 output tokens
    When its deadline is <value>
    Then its deadline is the timeout of its route

    Examples:
      | value |
      | inf   |
      | nan   |
      | 0     |
