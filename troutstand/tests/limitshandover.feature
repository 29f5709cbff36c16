Feature: Workspace usage counts once after a change of scheduler

  # Guards against counting the usage that gateways report more than once when they attach to a
  # scheduler that has just started, which exhausts the limits.
  Scenario Outline: A new scheduler counts the usage of <count> gateways once
    Given <count> gateways that took 0.5 of a workspace's limit together
    When all of them attach to a scheduler that has just started
    Then it counts 0.5 of the limit as taken
    And it told the first of them that there are <count> gateways

    Examples:
      | count |
      | 3     |
      | 16    |
      | 73    |

  Scenario: Usage of gateways that switch back and forth between schedulers counts once
    Given 16 gateways that took 0.5 of a workspace's limit together
    When all of them attach to one scheduler and to another by turns, 6 times
    Then the last one counts 0.5 of the limit as taken

  Scenario: The usage of a gateway that reconnects counts once
    Given 16 gateways that took 0.5 of a workspace's limit together
    When all of them attach to a scheduler that has just started
    And half of them disconnect, decide locally and attach again
    Then it counts 0.5 of the limit as taken

  # Usage reported before the gateway restarted may still be inside the window.
  Scenario: Usage through a restarted gateway still counts
    Given 16 gateways that took 0.5 of a workspace's limit together
    When all of them attach to a scheduler that has just started
    And half of them restart and attach
    Then it counts 0.5 of the limit as taken

  Scenario: A long-running scheduler counts only the gateways that remain
    Given 16 gateways that took 0.5 of a workspace's limit together
    When all of them attach to a scheduler that has just started
    And 40 s later 4 of them are left
    Then it tells that there are 4 gateways

  # Guards against losing what a keeper knew when power is lost amid a write.
  Scenario Outline: A keeper restores the usage that it wrote before <loss>
    Given a keeper's store of usage
    When it writes that 100 tokens were used, and then that 300 were
    And <loss>
    Then it restores that <tokens> tokens were used

    Examples:
      | loss                              | tokens |
      | it starts again                   | 300    |
      | its last write is torn            | 100    |
      | it starts again two minutes later | 0      |

  Scenario: A scheduler that starts counts what the keepers know, and not twice
    Given a keeper's store of usage
    When a decider tells it of 400 tokens, and again of 500 in all
    Then a decider that starts with what it knows counts 500 tokens

  # Guards against usage that counts once under each source that it was moved to.
  Scenario: Usage of a scheduler whose share falls again and again counts once
    Given a keeper's store of usage
    And a decider that has used 400 tokens and told it
    When the decider's share falls 3 times before others were told of what it used
    Then a decider that starts with what it knows counts 400 tokens

  # Guards against replies to starting gateways that grow with the number of gateways.
  Scenario: A keeper leaves out what other gateways counted when a gateway starts
    Given a keeper's store of usage
    And 330 gateways that told it of 10 tokens each
    When one of them asks it after a start
    Then it is told of 10 tokens
    And a scheduler that starts is told of 3300 tokens

  # Guards against gateways that are taken for lost between two heartbeats of a large site.
  Scenario: A scheduler of 330 gateways detaches none between two heartbeats
    Given 330 gateways that took 0.5 of a workspace's limit together
    When all of them attach to a scheduler that has just started
    And the longest time between two of their heartbeats passes
    Then it detaches none of them

  # Guards against charges that take longer the more gateways have handed over their usage.
  Scenario: A charge costs the same after 330 gateways have returned as after 4
    When 4 gateways return to one decider, and 330 to another
    Then a charge takes at most 5 times as long at the other

  # Guards against usage that a decider counts in part for gateways that were never told of it.
  Scenario: A first heartbeat that a link has held back takes no usage away
    Given 4 gateways that took 0.4 of a workspace's limit together
    When 2 of them attach to a scheduler that counts 0.4 of the limit itself
    And the first heartbeat of another arrives late, and nothing more of it
    Then it counts all that it has counted itself
