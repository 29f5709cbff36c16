Feature: Rate limits that targets name, with real processes

  # Guards against ignoring the rate limit, one for all gateways together, that targets name in
  # their responses.

  Scenario: Engines get no more than the rate limit they name, and the others take the load
    Given a routed site with 5 engines and 2 plain targets
    When 2 engines name a limit of 1.7 requests a second
    And for 8 s 30 calls a second of /stream/ are made
    Then no target got more than its limit of 1.7 requests a second allows
    And at least 0.95 of these calls are answered

  Scenario: Half of the targets of a plain service name a rate limit
    Given a routed site with 0 engines and 8 plain targets that work for 0.2 s
    When 4 plain targets name a limit of 2 requests a second
    And for 7 s 60 calls a second of /get/ are made
    Then no target got more than its limit of 2 requests a second allows
    And at least 0.95 of these calls are answered

  Scenario Outline: Responses of every kind name the rate limit, and retries respect it
    Given a routed site with <engines> engines and <plain> plain targets
    When 2 <kind> name a limit of 1 requests a second and answer with <fault>
    And for 7 s 40 calls a second of <route> are made
    Then no target got more than its limit of 1 requests a second allows

    Examples:
      | engines | plain | kind          | fault       | route           |
      | 0       | 2     | plain targets | errors      | /get/           |
      | 0       | 2     | plain targets | shed        | /get/           |
      | 2       | 0     | engines       | cut answers | /stream/resume/ |
      | 2       | 0     | engines       | cut answers | /stream/        |

  Scenario: A rate limit survives a change of scheduler
    Given a routed site with 0 engines and 5 plain targets that work for 0.2 s
    When 2 plain targets name a limit of 2 requests a second
    And for 2.5 s 60 calls a second of /get/ are made
    And the deciding scheduler is killed and the gateways ask another
    And for 5 s 60 calls a second of /get/ are made
    Then no target got more than its limit of 2 requests a second allows

  Scenario: Gateways that decide locally respect a rate limit together
    Given a routed site with 0 engines and 5 plain targets that work for 0.2 s
    When 2 plain targets name a limit of 2 requests a second
    And for 2.5 s 60 calls a second of /get/ are made
    And all schedulers are killed and the gateways decide alone
    And for 6 s 60 calls a second of /get/ are made
    Then no target got more than its limit of 2 requests a second allows
    And at least 0.95 of these calls are answered

  Scenario: A rate limit survives a restart of the scheduler
    Given a routed site with 0 engines and 5 plain targets that work for 0.2 s
    When 2 plain targets name a limit of 2 requests a second
    And for 2.5 s 60 calls a second of /get/ are made
    And the deciding scheduler is killed and the gateways ask another
    And the scheduler that was killed starts again and the other is killed
    And for 5 s 60 calls a second of /get/ are made
    Then no target got more than its limit of 2 requests a second allows

  Scenario: Two schedulers with part of the gateways each share one rate limit
    Given a routed site with 0 engines and 5 plain targets, whose links can be cut
    When 2 plain targets name a limit of 2 requests a second
    And for 2.5 s 60 calls a second of /get/ are made
    And one gateway is cut off from the deciding scheduler and asks another
    And for 7 s 60 calls a second of /get/ are made
    Then no target got more than its limit of 2 requests a second allows
    And at least 0.95 of these calls are answered
    And both schedulers placed requests at a target with a limit

  Scenario: A target that no longer names a rate limit is used fully within seconds
    Given a routed site with 0 engines and 3 plain targets that work for 0.1 s
    When 1 plain targets name a limit of 0.5 requests a second
    And for 3 s 60 calls a second of /get/ are made
    And 1 plain targets name no limit any more
    And for 5 s 60 calls a second of /get/ are made
    Then the first plain target got at least 20 requests in the last 2 s

  Scenario: If all targets name a rate limit, callers are refused in time with a Retry-After
    Given a routed site with 0 engines and 2 plain targets
    When 2 plain targets name a limit of 1 requests a second
    And for 6 s 20 calls a second of /get/ are made
    Then no target got more than its limit of 1 requests a second allows
    And 8 of these calls or more are answered
    And whoever is refused within the last 3 s hears it within 1 s, and when to come back
