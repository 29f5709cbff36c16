Feature: A request that ends the targets that run it

  # One caller sent a body that ended every target that began to run it, and sent it again
  # every few hundred milliseconds, each time as a request of its own. A request was known
  # by its id alone, so that each of these was new, got every attempt of its route, and took
  # as many targets with it. Sixteen of them ended within 11 s under the one body. 10 s after
  # the first, the scheduler still logged "event=request_placed waited_ms=0 running=1", the
  # gateway 88 ms later "event=attempt_failed ending=broken arrivals=1", the scheduler 1 ms
  # after that another "event=request_placed", and the gateway "arrivals=2" 90 ms on.
  # A sound request that stood beside it was logged as "ending=unsent arrivals=0", although
  # its target had received it: its kept connection failed, the new one was refused, and
  # only the refusal counted.

  Scenario: A body that ended three targets is sent to no more of them
    Given a routed site with 6 engines that one body ends
    When for 8 s that body is called each 0.25 s beside 20 sound ones a second
    Then at most 3 of its arrivals come later than 3 s after its third target ended
    And at least 0.9 of the sound calls are answered
    And the sound bodies that stood beside it are answered afterwards

  Scenario: The logs tell which calls are the same, and that their targets ended
    Given a routed site with 6 engines that one body ends
    When the deadly body is called once at each gateway
    Then the logs name one fingerprint for both calls, and their targets as gone

  Scenario: The logs tell a connection that broke from a target that ended
    Given a routed site whose engines break streams
    When 6 calls of /stream/resume/ with bodies of their own are made
    Then the logs name a fingerprint for each call, and no target as gone

  Scenario: What was found out outlives the decider and the schedulers
    Given a routed site with 6 engines that one body ends
    When the deadly body is called until it is refused with 3012
    And the deciding scheduler is killed and the gateways ask another
    Then the deadly body is refused with 3012 at each gateway and reaches no target
    When the scheduler that was killed starts again and the other is killed
    Then the deadly body is refused with 3012 at each gateway and reaches no target
    When all schedulers are killed and the gateways decide alone
    Then the deadly body is refused with 3012 at each gateway and reaches no target

  Scenario: A gateway that decides alone finds out by itself
    Given a routed site with 6 engines that one body ends
    When all schedulers are killed and the gateways decide alone
    And the deadly body is called 12 times at one gateway
    Then 3 targets have ended

  Scenario Outline: Every kind of request is found out
    Given a routed site with 6 engines that one body ends
    When the deadly body is called 12 times as <route>
    Then 3 targets have ended

    Examples:
      | route                |
      | /stream/             |
      | /stream/resume-once/ |
      | /stream/resume/      |

  Scenario Outline: Plain services are protected as well
    Given a routed site with 6 plain targets that one body ends
    When the deadly body is called 12 times as <route>
    Then 3 targets have ended

    Examples:
      | route |
      | /do/  |
      | /get/ |

  # A caller that is told 429 or 503 may take its request as not run. One whose only target
  # had ended while it ran the request was told "status=429 code=3001 arrivals=1".
  Scenario: A request that a target may have run is not refused as if it had not
    Given a routed site with 1 plain targets that one body ends
    When the deadly body is called 1 times as /get/
    Then the caller is told 502 and that it may have run

  Scenario: A request whose time ends at a target may have run
    Given a routed site whose targets work for 5 s
    When a call of /do/ has a deadline of 0.5 s
    Then the caller is told 504 and that it may have run
