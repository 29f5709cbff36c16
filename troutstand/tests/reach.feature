Feature: An unreachable failure domain is detected by two of its targets

  Scenario: The other targets of an unreachable failure domain get no requests
    Given 4 targets in each of the failure domains north and south
    When two targets in south cannot be reached from north
    Then requests from north go to targets in north only
    And the link from north to south is reported as lost
    And requests from south still go to targets in south

  Scenario: One failing target does not eject its failure domain
    Given 4 targets in each of the failure domains north and south
    When one target in south cannot be reached from north
    Then requests from north may go to the others in south

  Scenario: A response between two failures shows that the link is up
    Given 4 targets in each of the failure domains north and south
    When one target in south cannot be reached from north
    And another one in south answers a request from north
    And a third one in south cannot be reached from north
    Then requests from north may go to the others in south

  Scenario: A broken connection neither counts as nor clears a failure of the link
    Given 4 targets in each of the failure domains north and south
    When one target in south cannot be reached from north
    And the connection to a second one in south breaks
    And a third one in south cannot be reached from north
    Then requests from north go to targets in north only

  # Guards against taking targets that refuse connections, and so have ended, for a lost network
  # link to their failure domain.
  Scenario: Targets that refuse connections do not count against the link
    Given 4 targets in each of the failure domains north and south
    When two targets in south refuse connections from north
    Then requests from north may go to the others in south

  Scenario: A failed link is probed with one request and restored by its response
    Given 4 targets in each of the failure domains north and south
    When two targets in south cannot be reached from north
    And 1.2 s pass there
    Then one request from north goes to south, others do not
    When that request is answered
    Then the requests that wait go to south
    And the link from north to south is reported as regained

  Scenario: A failure domain that is itself cut off does not probe the others one by one
    Given 1 targets in each of the failure domains north, south, east and west
    When the targets in south and east cannot be reached from north
    Then requests from north go to targets in north only
    And the link from north to * is reported as lost

  Scenario: Ejected targets are not probed over a failed link
    Given 1 targets in each of the failure domains north, south, east and west
    When the targets in south, east and west cannot be reached from north
    And 0.3 s pass there
    Then 0 repeatable requests from north go to targets that are ejected
    But 1 repeatable requests from west go to targets that are ejected
