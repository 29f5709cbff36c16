Feature: Requests that crash targets, with real processes

  # Guards against one body that crashes every target that runs it: a retry under a new request
  # id must not get a new set of attempts.

  Scenario: A body that crashed three targets is sent to no more of them
    Given a routed site with 6 engines that one body ends
    When for 8 s that body is called each 0.25 s beside 20 sound ones a second
    Then at most 3 of its arrivals come later than 3 s after its third target ended
    And at least 0.9 of the sound calls are answered
    And the sound bodies that stood beside it are answered afterwards

  Scenario: The logs show that calls share a fingerprint and that their targets crashed
    Given a routed site with 6 engines that one body ends
    When the deadly body is called once at each gateway
    Then the logs name one fingerprint for both calls, and their targets as gone

  Scenario: The logs distinguish a broken connection from a crashed target
    Given a routed site whose engines break streams
    When 6 calls of /stream/resume/ with bodies of their own are made
    Then the logs name a fingerprint for each call, and no target as gone

  Scenario: Quarantined requests survive the loss of the deciding scheduler and of all schedulers
    Given a routed site with 6 engines that one body ends
    When the deadly body is called until it is refused with 3012
    And the deciding scheduler is killed and the gateways ask another
    Then the deadly body is refused with 3012 at each gateway and reaches no target
    When the scheduler that was killed starts again and the other is killed
    Then the deadly body is refused with 3012 at each gateway and reaches no target
    When all schedulers are killed and the gateways decide alone
    Then the deadly body is refused with 3012 at each gateway and reaches no target

  Scenario: A gateway that decides locally detects crashing requests
    Given a routed site with 6 engines that one body ends
    When all schedulers are killed and the gateways decide alone
    And the deadly body is called 12 times at one gateway
    Then 3 targets have ended

  Scenario Outline: Crashing requests of every kind are detected
    Given a routed site with 6 engines that one body ends
    When the deadly body is called 12 times as <route>
    Then 3 targets have ended

    Examples:
      | route                |
      | /stream/             |
      | /stream/resume-once/ |
      | /stream/resume/      |

  Scenario Outline: Crashing requests at plain services are detected
    Given a routed site with 6 plain targets that one body ends
    When the deadly body is called 12 times as <route>
    Then 3 targets have ended

    Examples:
      | route |
      | /do/  |
      | /get/ |

  # Guards against refusing with 429 or 503, which callers read as not run, a request that a target
  # may have run.
  Scenario: A request that a target may have run is not reported as not run
    Given a routed site with 1 plain targets that one body ends
    When the deadly body is called 1 times as /get/
    Then the caller is told 502 and that it may have run

  Scenario: A request whose deadline passes at a target may have run
    Given a routed site whose targets work for 5 s
    When a call of /do/ has a deadline of 0.5 s
    Then the caller is told 504 and that it may have run
