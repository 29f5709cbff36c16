Feature: A routed site of separate processes tolerates failures

  Scenario: Every kind of request is served, and what is not allowed is refused
    Given a routed site
    Then a call of /get/ through each gateway gets 200
    And a call of /do/ through each gateway gets 200
    And a call of /stream/ through each gateway gets 200
    And a call of /nowhere/ through each gateway gets 404
    And a call of /do/ with an unknown key gets 401
    And the targets saw the workspace and no key

  Scenario: Before any configuration is known calls get 503, not 404
    Given a routed site without a configuration
    Then a call of /do/ through each gateway that listens gets 503
    And a call of /unknown/ through each gateway that listens gets 503
    When the first configuration is in force
    Then a call of /do/ through each gateway gets 200
    And a call of /unknown/ through each gateway gets 404

  Scenario: Disconnected callers free their slots and their places in the queue
    Given a routed site whose targets work for 5 s
    When 8 calls that run and 4 that wait are given up by their callers
    Then the targets' work on the 8 ends within 0.5 s
    And the 4 never run

  Scenario: The scheduler dies or stands still and the calls go on
    Given a routed site
    When calls of /do/ run while the first scheduler is frozen, then killed
    Then no call took longer than 2 s and at most 2 were not answered with 200

  Scenario: A planned stop of a gateway cuts no call
    Given a routed site
    When calls on open connections run while a gateway is told to stop
    Then every call that it took was answered whole
    And the gateway ended by itself with 0

  Scenario: A call that a stopping gateway aborts is not logged as abandoned by its caller
    Given a routed site whose targets work for 5 s
    When a gateway is told to stop while it answers a call
    Then its log tells of the call as cut, not as left

  # A gateway whose calls outlast the drain must cancel them and exit before the platform kills it.
  Scenario: A gateway that must abort calls exits within its stop timeout
    Given a routed site whose targets work for 20 s and whose processes have 6 s to stop
    When a gateway is told to stop while it answers a call
    Then it ended by itself within 6 s

  Scenario: A configuration applies everywhere, and a version number never has two contents
    Given a routed site
    When two operators send different contents under version 7 at once
    Then every keeper returns the same content under version 7
    And it is in force at each gateway within 2 s
    And an older version sent again is acknowledged and changes nothing
    And an invalid one is refused with 400 and the content stays

  Scenario: A keeper's disk is lost and another fails right after the repair
    Given a routed site
    And version 3 is in force
    When keeper-1 loses its disk and is back as a voter
    And keeper-2 is killed
    Then version 4 can be acknowledged
    When keeper-2 starts again and all keepers are killed and start again
    Then every keeper returns version 4

  Scenario: A keeper is replaced by an empty one at another address
    Given a routed site
    And version 3 is in force
    When keeper-3 is gone for good and a new keeper starts with an empty disk
    Then the new keeper becomes a voter
    When keeper-1 is killed
    Then version 4 can be acknowledged

  Scenario: A keeper without a quorum refuses to return a configuration
    Given a routed site
    When keeper-2 and keeper-3 are frozen
    Then a read at keeper-1 is refused with 503 within 4 s

  Scenario: A stream resumes at another target after the last complete event
    Given a routed site whose engines break streams
    Then calls of /stream/resume/ get every event once
    And calls of /stream/ that are cut do not look complete

  Scenario: A stopping gateway closes idle connections at once
    Given a routed site
    When a gateway with 5 idle connections is told to stop
    Then each of them is closed within 1.5 s, before the gateway has ended

  Scenario: A scheduler that takes over reads the target list at once
    Given a routed site
    When a target is listed as draining and the first scheduler is killed at once
    Then 2 s later no call goes to that target

  Scenario: Gateways notice at once that every scheduler has ended
    Given a routed site
    When all schedulers are killed at once
    Then every gateway decides locally within 0.4 s

  # Without the longest pause of a stream in the gateway's message, the scheduler assumes the default
  # time per token for every target.
  Scenario: The scheduler learns the time per token of each engine
    Given a routed site whose engines take 5 and 40 ms for a token
    When 24 calls of /stream/ are answered
    Then the scheduler's log tells less than 20 ms a token of the first and more of the second
