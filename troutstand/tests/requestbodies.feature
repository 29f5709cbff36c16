Feature: The request bodies that a gateway holds have a bound together

  # Guards against bodies within their own bound that together fill the memory.
  Scenario Outline: A body that fits exactly is served, and the next is refused until it has ended, <framing>
    Given a routed site that holds at most 100000 bytes of request bodies, whose targets wait
    When a request with a body of 100000 bytes, <framing>, is at a target
    And a request with a body of 1 bytes, <framing>, is made meanwhile
    Then it gets 503 with code 3015, "no" and a Retry-After
    And a log line and the metrics tell it
    When the targets answer
    Then the first request gets 200
    And a request with a body of 100000 bytes, <framing>, gets 200

    Examples:
      | framing          |
      | with a length    |
      | in chunks        |

  Scenario Outline: The bytes of a request that ends by <ending> are given back
    Given a routed site that holds at most 100000 bytes of request bodies, whose targets wait
    When a request with a body of 90000 bytes, with a length, is at a target
    And it ends by <ending>
    Then the gateway holds no request body any more
    When the targets answer
    Then a request with a body of 100000 bytes, with a length, gets 200

    Examples:
      | ending                     |
      | its caller that leaves     |
      | its deadline               |
      | targets that reset it      |

  # Guards against a connection that is closed within a body, without a head.
  Scenario Outline: A body that exceeds what is left gets a whole refusal, <framing>
    Given a routed site that holds at most 100000 bytes of request bodies, whose targets wait
    When a request with a body of 3000000 bytes, <framing>, is made meanwhile
    Then it gets 503 with code 3015, "no" and a Retry-After
    And the gateway holds no request body any more

    Examples:
      | framing          |
      | with a length    |
      | in chunks        |
