Feature: Targets that ask for a backoff

  # A target that rejects requests with 503 and Retry-After has nothing running and looks idle: without
  # a pause it attracts further requests, which fail.

  Scenario: Engines that reject all requests get no more during their backoff
    Given a routed site with 5 engines and 2 plain targets
    When 2 engines reject requests and ask for a backoff of 2 s
    And for 5 s 30 calls a second of /stream/ are made
    Then no gateway sent more than 2 requests within a backoff
    And at least 0.95 of these calls are answered

  Scenario: Half of the targets of a plain service ask for a backoff
    Given a routed site with 0 engines and 8 plain targets that work for 0.2 s
    When 4 targets reject requests and ask for a backoff of 2 s
    And for 5 s 60 calls a second of /get/ are made
    Then no gateway sent more than 2 requests within a backoff
    And at least 0.95 of these calls are answered

  Scenario: A backoff is kept when the scheduler fails
    Given a routed site with 0 engines and 6 plain targets that work for 0.2 s
    When 1 targets reject requests and ask for a backoff of 6 s
    And for 1.5 s 40 calls a second of /get/ are made
    And the deciding scheduler is killed and the gateways ask another
    And for 3 s 40 calls a second of /get/ are made
    Then no gateway sent more than 2 requests within a backoff

  Scenario: Gateways that decide locally respect a backoff
    Given a routed site with 0 engines and 4 plain targets
    When all schedulers are killed and the gateways decide alone
    And 1 targets reject requests and ask for a backoff of 3 s
    And for 4 s 40 calls a second of /get/ are made
    Then no gateway sent more than 2 requests within a backoff
    And at least 0.95 of these calls are answered

  Scenario: A target that announces that it is draining gets nothing, even if the list shows it as ready
    Given a routed site with 0 engines and 4 plain targets
    When 2 targets announce in their answers that they are draining
    And for 6 s 40 calls a second of /get/ are made
    Then no request was sent later than 3 s after its gateway had heard that a target leaves
    And at least 0.95 of these calls are answered

  Scenario: A draining notice is kept when the schedulers fail
    Given a routed site with 0 engines and 4 plain targets
    When 2 targets announce in their answers that they are draining
    And for 2 s 40 calls a second of /get/ are made
    And the deciding scheduler is killed and the gateways ask another
    And for 2 s 40 calls a second of /get/ are made
    And all schedulers are killed and the gateways decide alone
    And for 2 s 40 calls a second of /get/ are made
    Then no request was sent later than 3 s after its gateway had heard that a target leaves

  Scenario: A stream that started before its engine's draining notice is completed
    Given a routed site with 2 engines and 0 plain targets
    When 1 engines announce in their answers that they are draining
    And for 3 s 10 calls a second of /stream/ are made
    Then at least 1 of these calls are answered
