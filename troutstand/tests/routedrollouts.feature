Feature: Processes of a routed site roll out a new version of a service's targets

  Scenario: A sound version takes over in time, and the old one ends without a lost call
    Given a routed site whose targets run "v1"
    And calls of /get/ and /do/ run all the time
    And 2 targets of "work" that run "v2" are listed
    When a rollout of "work" to "v2" within 7 s is ordered
    And the old targets are stopped as soon as it is completed
    Then it is completed within 7.5 s
    And no call was lost
    And targets of "v2" got at most 0.1 of the calls before 4 s, and some
    And all calls of the last second went to "v2"

  Scenario: A version that fails is rolled back soon
    Given a routed site whose targets run "v1"
    And calls of /get/ and /do/ run all the time
    And 2 targets of "work" in "v2" that fail half of their answers are listed
    When a rollout of "work" to "v2" within 20 s is ordered
    Then it is rolled_back within 15 s
    And targets of "v2" got less than 100 calls and none afterwards

  Scenario: Targets of a version that nobody ordered get no call
    Given a routed site whose targets run "v1"
    And calls of /get/ and /do/ run all the time
    And 2 targets of "work" that run "v9" are listed
    When the calls go on for 2 s
    Then targets of "v9" got no call

  Scenario: A process that has just started admits no unknown version
    Given a routed site whose targets run "v1"
    And 2 targets of "work" that run "v9" are listed
    And calls of /get/ and /do/ run all the time
    When all schedulers and gateways are killed and start again
    And the calls go on for 3 s
    Then targets of "v9" got no call

  Scenario: An acknowledged order survives a restart of all keepers and the loss of a disk
    Given a routed site whose targets run "v1"
    When a rollout of "work" to "v2" within 60 s is ordered
    And all keepers are killed, one loses its disk, and all start again
    Then every keeper eventually reports that the rollout is in_progress
    And the same order is acknowledged again at each keeper
    And an order to "v3" is refused with 409 at each keeper

  Scenario: An order for a service without targets is rolled back
    Given a routed site whose targets run "v1"
    And a service "empty" without targets
    When a rollout of "empty" to "v2" within 3 s is ordered
    Then the rollout of "empty" is rolled_back within 5 s

  Scenario: A keeper without a quorum refuses to return the state of a rollout
    Given a routed site whose targets run "v1"
    When a rollout of "work" to "v2" within 60 s is ordered
    And keeper-2 and keeper-3 are frozen
    Then the rollout's state at keeper-1 is refused with 503

  Scenario Outline: An order that can't be carried out is refused: <case>
    Given a routed site whose targets run "v1"
    Then an order of <body> is refused with <status>

    Examples:
      | case                  | body                                                  | status |
      | an unknown service    | {"service":"none","version":"v2","duration_s":5}      | 404    |
      | no time               | {"service":"work","version":"v2","duration_s":0}      | 400    |
      | no version            | {"service":"work","version":"","duration_s":5}        | 400    |
      | a field it can't have | {"service":"work","version":"v2","duration_s":5,"x":1} | 400   |
      | not an order          | []                                                    | 400    |

  Scenario: An operator watches and aborts a rollout on the command line
    Given a routed site whose targets run "v1"
    When troutstandctl orders "work" to "v2" within 60 s
    Then troutstandctl shows "v2" as in_progress
    When troutstandctl aborts the rollout of "work"
    Then troutstandctl shows "v2" as rolled_back
    And troutstandctl refuses to abort it again with 6013
    And troutstandctl refuses the keeper "nowhere" with 6006
