Feature: A failure domain that cannot be reached is found out by two of its targets

  Scenario: The rest of a cut failure domain gets nothing
    Given 4 targets in each of the failure domains north and south
    When two targets in south cannot be reached from north
    Then requests from north go to targets in north only
    And the way from north to south is reported as lost
    And requests from south still go to targets in south

  Scenario: One target that fails does not hold its failure domain off
    Given 4 targets in each of the failure domains north and south
    When one target in south cannot be reached from north
    Then requests from north may go to the others in south

  Scenario: An answer between two failures tells that the way is open
    Given 4 targets in each of the failure domains north and south
    When one target in south cannot be reached from north
    And another one in south answers a request from north
    And a third one in south cannot be reached from north
    Then requests from north may go to the others in south

  Scenario: A connection that breaks tells nothing of the way
    Given 4 targets in each of the failure domains north and south
    When one target in south cannot be reached from north
    And the connection to a second one in south breaks
    And a third one in south cannot be reached from north
    Then requests from north go to targets in north only

  # Guards against taking targets that refuse connections, and so have ended, for a lost network
  # link to their failure domain.
  Scenario: Targets that refuse connections have ended, and their way is open
    Given 4 targets in each of the failure domains north and south
    When two targets in south refuse connections from north
    Then requests from north may go to the others in south

  Scenario: A way that was held off is tried with one request, and opened by its answer
    Given 4 targets in each of the failure domains north and south
    When two targets in south cannot be reached from north
    And 1.2 s pass there
    Then one request from north goes to south, others do not
    When that request is answered
    Then the requests that wait go to south
    And the way from north to south is reported as regained

  Scenario: A failure domain that is itself cut off does not try the others one by one
    Given 1 targets in each of the failure domains north, south, east and west
    When the targets in south and east cannot be reached from north
    Then requests from north go to targets in north only
    And the way from north to * is reported as lost

  Scenario: Probes of targets that are held off do not go a way that is held off
    Given 1 targets in each of the failure domains north, south, east and west
    When the targets in south, east and west cannot be reached from north
    And 0.3 s pass there
    Then 0 repeatable requests from north go to targets that are held off
    But 1 repeatable requests from west go to targets that are held off
