Feature: Responses are complete while targets drain, hosts stop and failure domains are partitioned

  Scenario: An interrupted response is resumed if the engine supports it
    Given a site of 1 domain whose engines resume
    When every engine breaks off after 5 events, once
    Then a streamed chat of 20 tokens is whole and its own

  Scenario: A response interrupted before its first byte reached the caller is retried at another target
    Given a site of 1 domain whose engines cannot resume
    When the engine "north-engine-0" breaks off after 5 events, always
    Then 6 plain chats are whole and their own

  Scenario: A stream that fails for good ends in an error, not in a normal end
    Given a site of 1 domain whose engines cannot resume
    When every engine breaks off after 5 events, always
    Then a streamed chat of 20 tokens ends in an error and a broken connection

  Scenario Outline: Events that an engine sends <how> do not reach the caller that way
    Given a site of 1 domain whose engines resume
    When every engine sends events <how>
    Then a streamed chat of 20 tokens is <outcome>

    Examples:
      | how                 | outcome           |
      | out of order        | whole and its own |
      | twice               | whole and its own |
      | of another request  | refused with 5004 |

  Scenario: A resent request never reaches the same target twice
    Given a site of 1 domain whose engines resume
    When one keyed chat is sent 3 times through different entry processes
    Then no engine had it twice
    And the third is refused with run "unknown"

  Scenario: A planned stop cuts no request
    Given a site of 1 domain whose engines resume
    When 30 streams run and the scheduler's process is drained
    Then every stream is whole and its own
    And the process stopped with exit code 0

  Scenario: A draining target gets no new requests
    Given a site of 1 domain whose engines resume
    When the table lists "north-engine-0" as draining and that is in force
    Then 6 plain chats are whole and their own
    And "north-engine-0" got none of them

  Scenario: Requests of a higher tier preempt those of a lower one at an overloaded site
    Given a site of 1 domain with 4 slots in all
    When drafts fill every slot and 4 urgent chats come
    Then every urgent chat is whole and its own
    And the preempted drafts were told to retry

  Scenario: A cut domain goes on serving, and catches up when the cut heals
    Given a relayed site of 3 failure domains
    When "west" is cut off
    And a version is accepted outside
    Then chats through "west-0.entry" are whole for 3 leases
    And a command through "west-0.entry" is refused as not run or unknown
    And a command through "north-0.entry" is whole
    When the cut heals
    Then the version is in force in "west" too
    And a command through "west-0.entry" is whole

  Scenario: A diskless host that restarts in a partitioned failure domain serves no older version
    Given a relayed site of 3 failure domains
    And a second version is in force everywhere
    When "west" is cut off
    And "west-0.entry" is killed and restarted
    Then "west-0.entry" serves the second version

  Scenario: A diskless host that restarts alone serves nothing until it has a configuration
    Given a relayed site of 3 failure domains
    When "west-0.entry" is killed, cut off and restarted
    Then "west-0.entry" refuses with 3007
    When the cut heals
    Then "west-0.entry" serves the first version

  Scenario: A partitioned scheduler loses its lease before another gets the role
    Given a relayed site of 3 failure domains
    When the scheduler of "north" is cut off from all others
    Then another entry process of "north" becomes scheduler
    And the old one logged the end of its lease before
