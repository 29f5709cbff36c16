Feature: A response that is overdue is kept while no other target can take its request

  Scenario: The only target answers after the objective
    Given a routed site with 0 engines and 1 plain targets that work for 0.7 s
    When for 0.1 s 20 calls a second of /get/ are made
    Then at least 1.0 of these calls are answered
    And no request ran twice at its target

  Scenario: The only target answers after the objective and gateways decide alone
    Given a routed site with 0 engines and 1 plain targets that work for 0.7 s
    When all schedulers are killed and the gateways decide alone
    And for 0.1 s 20 calls a second of /get/ are made
    Then at least 1.0 of these calls are answered
    And no request ran twice at its target

  Scenario: The response comes while its request waits for another target
    Given a routed site with 0 engines and 2 plain targets that work for 0.7 s
    When 1 targets reject requests and ask for a backoff of 4 s
    And for 0.3 s 20 calls a second of /get/ are made
    And for 0.1 s 20 calls a second of /get/ are made
    Then at least 1.0 of these calls are answered
    And no request ran twice at its target

  Scenario: Another target takes the request of a target that does not answer
    Given a routed site with 0 engines and 2 plain targets
    When 1 targets take requests and do not answer
    And for 0.1 s 20 calls a second of /get/ are made
    Then at least 1.0 of these calls are answered

  Scenario: A caller that leaves ends the overdue request at its target
    Given a routed site with 0 engines and 1 plain targets that work for 3 s
    When a call of /get/ is given up after 0.8 s
    Then its target has nothing running within 0.5 s

  Scenario: A target that never answers is kept to the deadline of its request
    Given a routed site with 0 engines and 1 plain targets
    When 1 targets take requests and do not answer
    And for 0.1 s 20 calls a second of /get/ are made
    Then each of these calls is refused at its deadline of 3 s, and not as "not run"
