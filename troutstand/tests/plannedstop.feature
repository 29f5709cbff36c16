Feature: A process that is told to stop takes only what it can answer, and ends in time
  Guards against processes that wait for a frozen peer until they are killed.

  Scenario Outline: A <role> ends in time while a <peer> is frozen
    Given a routed site whose streams take 1 s and whose processes have 8 s to stop
    When a <role> is told to stop while a <peer> is frozen
    Then it ended by itself with 0 within 4 s

    Examples:
      | role      | peer      |
      | keeper    | gateway   |
      | keeper    | scheduler |
      | keeper    | keeper    |
      | scheduler | gateway   |

  Scenario: A link server ends in time while a peer reads nothing and replies wait
    When a link server stops while a peer leaves 32 MB of replies unread
    Then it ends within 2 s and logs "link_aborted" with the peer
