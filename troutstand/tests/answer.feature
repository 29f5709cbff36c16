Feature: A response stream is reassembled completely and in order

  Scenario Outline: Events that come <how> make the complete response
    Given an answer of 12 numbered events
    When its events come <how>
    Then the whole answer is given in order

    Examples:
      | how                        |
      | in order                   |
      | backwards                  |
      | twice                      |
      | shuffled with seed 7       |
      | one byte at a time         |
      | cut off and resumed        |
      | resumed from too early     |
      | with event 3 behind the end mark |
      | cut off in a gap behind the end mark |

  Scenario: An event of another response is refused
    Given an answer of 12 numbered events
    When event 5 carries another id
    Then it fails with 5004

  Scenario Outline: A response <how> is not complete
    Given an answer of 12 numbered events
    When it comes <how>
    Then the answer is not whole

    Examples:
      | how                      |
      | without its last mark    |
      | without event 3          |
      | without a finish reason  |

  Scenario: A response over the size limit is cut off
    Given an answer limit of 1000 bytes
    When 12 events of 200 bytes come
    Then it fails with 5006
