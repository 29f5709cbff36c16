Feature: Idle connections through a peer age when the direct path is given up

  # Guards against a connection that is reused after its target has closed it.
  Scenario: A connection through a peer keeps the start of its idle period
    Given an idle connection through a peer and a direct one
    When the direct connections to their target are closed
    Then the one through the peer has been idle for as long as before
    And the direct one is closed
