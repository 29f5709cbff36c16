Feature: A gateway that has lost its path to a target does not take the target from others

  Scenario Outline: A lost path is not taken for a lost target when a request ends as <ending>
    Given a service with 2 targets of 4 slots
    When 3 requests of a gateway whose path is lost end as <ending> at the first target
    Then the first target takes as many requests at once as the second
    And no request is suspected of crashing targets
    And no link between failure domains is blocked

    Examples:
      | ending |
      | unsent |
      | broken |
      | silent |

  Scenario: A request whose answer cannot arrive gives its slot back and ejects nothing
    Given a service with 1 targets of 1 slots
    When a request runs and its gateway reports that the path is lost
    And 3 s pass there with nothing asked
    Then the target takes as many requests at once as it has slots

  Scenario: A scheduler that takes over knows which answers cannot arrive
    Given a service with 1 targets of 1 slots
    When a request whose path is lost is taken over
    And 3 s pass there with nothing asked
    Then the target takes as many requests at once as it has slots

  Scenario: A target that only a peer reaches is reached through peers until a direct probe works
    Given a gateway with paths to 4 targets
    When only a peer reaches the first one
    Then new connections to the first go through peers, to the second directly
    When only a peer reaches the second one
    Then new connections to all go through peers
    When the first one is reached directly
    Then new connections to the second go through peers, to the third directly

  Scenario: A gateway that still hears from targets goes on connecting directly to others
    Given a gateway with paths to 4 targets
    When only a peer reaches the first one
    And only a peer reaches the second one
    And the third one answers on an open connection
    Then new connections to the first go through peers, to the fourth directly

  Scenario: Cut paths are probed one a second, and all at once after one works
    Given a gateway with paths to 4 targets
    When only a peer reaches the first one
    And only a peer reaches the second one
    Then 3 probes are due in 4 s
    When the first one is reached directly
    Then the second is probed at once

  # Guards against a handshake that passes for a working path.
  Scenario Outline: Opened connections are watched <for_s> s after one was dropped at <age_s> s
    Given a gateway with paths to 4 targets
    When a connection is dropped <age_s> s after it opened
    Then new connections are watched for <for_s> s
    And 6 s later for 0.03 s

    Examples:
      | age_s | for_s |
      | 0.001 | 0.03  |
      | 0.06  | 0.12  |
      | 0.25  | 0.5   |
      | 0.3   | 0.03  |

  Scenario: The longest-lived of several dropped connections tells how long others are watched
    Given a gateway with paths to 4 targets
    When a connection is dropped 0.1 s after it opened
    And a connection is dropped 0.02 s after it opened
    Then new connections are watched for 0.2 s

  Scenario: A cut path that no request uses is forgotten
    Given a gateway with paths to 4 targets
    When only a peer reaches the first one
    And 31 s pass without a request
    Then no path is cut

  Scenario: Gateways have peers in their own failure domain and in others
    Given 330 gateways in 3 failure domains
    Then each has 3 peers of its own failure domain and 3 of others, none of them itself
    And none is the peer of more than 12 others

  Scenario: Gateways that are cut or silent are nobody's peers
    Given 6 gateways in 2 failure domains
    When the first one reports that it is isolated
    And the second one is silent for 2 s
    Then neither is a peer of any other

  Scenario: A list of peers is sent only to gateways that know another one
    Given 6 gateways in 2 failure domains
    Then a gateway without peers is sent some, and none the next time
