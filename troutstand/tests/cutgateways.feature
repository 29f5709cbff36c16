Feature: Callers of gateways that reach no target are served, and those of the others lose nothing

  Scenario Outline: Connections of <cut> of 4 gateways to the targets <kind>
    Given a routed site of 4 gateways in 1 failure domains
    When for 7 s connections from <cut> gateways to targets <kind>, with a scheduler
    Then 3 s after the cut began at least 0.95 of the calls at cut gateways are answered
    And 3 s after the cut began at least 0.99 of the calls at other gateways are answered
    And in the first 3 s at least 0.95 of the calls at other gateways are answered
    And 2 s after the cut ended all calls are answered
    And no call that may run once ran twice

    Examples:
      | cut | kind      |
      | 2   | hang      |
      | 2   | are reset |
      | 2   | live on   |
      | 3   | hang      |
      | 3   | are reset |

  # Guards against a handshake that passes for a working path, while nothing is answered on it.
  Scenario Outline: Connections of <cut> of 4 gateways to the targets open, and <kind>
    Given a routed site of 4 gateways in 1 failure domains
    When for 7 s connections from <cut> gateways to targets <kind>, with a scheduler
    Then 3 s after the cut began at least 0.95 of the calls at cut gateways are answered
    And 3 s after the cut began at least 0.99 of the calls at other gateways are answered
    And in the first 3 s at least 0.95 of the calls at other gateways are answered
    And 2 s after the cut ended all calls are answered
    And no call that may run once ran twice

    Examples:
      | cut | kind                     |
      | 2   | are reset late           |
      | 2   | live on with late resets |
      | 3   | are reset late           |

  Scenario Outline: Other gateways lose nothing while connections of <cut> of 4 gateways <kind>
    Given a routed site of 4 gateways in 1 failure domains
    When for 7 s connections from <cut> gateways to targets <kind>, with a scheduler
    Then in the first 3 s at least 0.95 of the calls at other gateways are answered
    And 3 s after the cut began at least 0.99 of the calls at other gateways are answered

    Examples:
      | cut | kind      |
      | 2   | hang      |
      | 3   | are reset |

  Scenario Outline: Connections of all gateways of a failure domain <kind>
    Given a routed site of 4 gateways in 2 failure domains
    When for 7 s connections from 2 gateways to targets <kind>, with a scheduler
    Then 3 s after the cut began at least 0.95 of the calls at cut gateways are answered
    And 3 s after the cut began at least 0.99 of the calls at other gateways are answered
    And 2 s after the cut ended all calls are answered
    And no call that may run once ran twice

    Examples:
      | kind      |
      | hang      |
      | are reset |
