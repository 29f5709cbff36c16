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

  # Guards against a value of a caller that breaks the schema of a message, which closes links.
  Scenario Outline: A call with <value> is refused as invalid at once
    Given a call with 100 prompt tokens and at most 50 output tokens
    When it is sent with <value>
    Then it is refused as a field that is not valid

    Examples:
      | value                               |
      | a request ID of 129 characters      |
      | a request ID of 4000 characters     |
      | a request ID outside ASCII          |
      | a model of 257 characters           |
      | a token count of 40 digits          |

  Scenario: Parts of a prompt whose names or counts do not fit into messages are ignored
    Given a call with 100 prompt tokens and at most 50 output tokens
    When it is sent with parts that do not fit and one that does
    Then only the part that fits is kept

  # Guards against bodies that reach a target decompressed, under the header that says otherwise.
  Scenario: A compressed body reaches its target as it was sent
    Given a routed site with 0 engines and 1 plain targets
    When 20 commands are sent with a compressed body
    Then each of these commands reaches its target byte for byte
