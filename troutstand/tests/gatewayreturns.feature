Feature: A workspace below its limit is served by a scheduler whose gateways end and start again

  # Guards against usage that returning gateways assume although they are known to have ended.
  Scenario Outline: Gateways that are known to have ended count no usage when <away> of <gateways> return
    Given simulated returns of <away> of <gateways> gateways with seeds from 0 to 7
    When they return within <spread> s, and take <start> s from listening to a heartbeat
    Then no usage counts that nobody counted
    And none of the requests is refused

    Examples:
      | away | gateways | spread | start |
      | 3    | 4        | 0.5    | 0.2   |
      | 6    | 8        | 2      | 0.2   |
      | 11   | 14       | 1      | 0.2   |
      | 11   | 14       | 8      | 0.2   |
      | 6    | 8        | 3      | 1     |
      | 11   | 14       | 3      | 1     |
      | 11   | 14       | 8      | 1     |

  # Guards against usage of gateways that decided alone, cut off from all, which must count.
  Scenario: Gateways that may have decided alone count what they may have used
    Given simulated returns of 11 of 14 gateways with seeds from 0 to 7
    When they return within 1 s, and their hosts answered nothing
    Then usage counts that nobody counted

  # Guards against a heartbeat that a link held back, taken for a sign that its gateway was not alone.
  Scenario: A heartbeat of a gateway that has ended does not tell what it used before
    Given a gateway that was last heard 6 s ago and whose host refuses connections
    When a heartbeat that it sent before arrives, and the gateway starts again
    Then it may have decided alone for 6 s at least
