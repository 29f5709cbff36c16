Feature: Workspace limits hold over all gateways together

  Scenario: A limit is not exceeded in any window, also over changes of scheduler
    Given a limit of 1000 tokens a second and a burst of 500, judged over 8 s with 10 in 100 and 2000 excess
    When a workspace asks for four times as much for 30 s and the scheduler changes every 5 s
    Then no window of 8 s holds more than 11350 tokens
    And the workspace got at least 30000 tokens

  Scenario: Two schedulers with part of the gateways each do not double a limit
    Given a limit of 1000 tokens a second and a burst of 500, judged over 8 s with 10 in 100 and 2000 excess
    When a workspace asks two schedulers of 4 and 2 gateways for four times as much for 30 s
    Then no window of 8 s holds more than 11350 tokens

  Scenario: Usage of gateways that decided locally counts when they attach again
    Given a limit of 1000 tokens a second and a burst of 500, judged over 8 s with 10 in 100 and 2000 excess
    When a workspace asks for four times as much for 30 s and 2 of 6 gateways decide alone from 5 to 12 s
    Then no window of 8 s holds more than 11350 tokens
    And the workspace got at least 30000 tokens

  Scenario: A request larger than the burst passes if the bucket is full
    Given a limit of 10 tokens a second and a burst of 50, judged over 8 s with 0 in 100 and 0 excess
    Then a request of 80 tokens passes, and the next must wait 8 s or more

  Scenario: Retries are bounded by the requests in the window
    Given a retry budget of 0.2 a request and 10 more in 10 s
    When 100 requests and 100 repeats come within 5 s
    Then at most 30 repeats are allowed and at least 15
    And after 20 s at least 5 more repeats are allowed

  Scenario: Requests over the limit but within the excess allowance are marked as excess
    Given a limit of 1000 tokens a second and a burst of 500, judged over 8 s with 10 in 100 and 2000 excess
    Then of 40 requests at once some are within it, then some excess, the rest refused

  Scenario: A workspace that asks for too much gets what its windows allow
    Given a limit of 400 tokens a second and a burst of 1500, judged over 8 s with 10 in 100 and 1900 excess
    When a workspace asks for four times as much for 30 s and the scheduler changes every 40 s
    Then no window of 8 s holds more than 7070 tokens
    And the workspace got at least 22000 tokens

  Scenario: A change of scheduler neither doubles a window nor blocks it
    Given a limit of 400 tokens a second and a burst of 1500, judged over 8 s with 10 in 100 and 1900 excess
    When a workspace asks for four times as much for 60 s and the scheduler changes every 3 s
    Then no window of 8 s holds more than 7070 tokens
    And the workspace got at least 35000 tokens

  Scenario: A late refund is not counted twice
    Given a limit of 400 tokens a second and a burst of 1500, judged over 8 s with 10 in 100 and 1900 excess
    When a workspace takes all it can at once, refunds it after 3 s, and asks for four times as much for 20 s
    Then no window of 8 s holds more than 7070 tokens

  # Guards against a sum over the sliding windows that grows with the requests and blocks the
  # scheduler's event loop.
  Scenario: The cost of summing windows does not grow with the requests
    Given a limit of 400000 tokens a second and a burst of 65000, judged over 8 s with 10 in 100 and 190000 excess
    When 20000 requests come within 7 s, and half of them refund what they took
    Then the window holds at most 450 amounts
    And it holds what was taken and not refunded, to the token
    And nothing leaves it sooner than 8.5 s after it was taken

  # Guards against a charge that is dated at a request's arrival, when it had yet to wait.
  Scenario: A charge counts from when a request is sent
    Given a service with 1 targets of 1 slots
    And a workspace with a limit of 100 tokens a second
    When a request of 300 tokens holds the slot, and one of 500 tokens waits 3 s for it
    Then 8 s after it was sent at most 300 further tokens are admitted

  Scenario: A request that did not run gives its tokens back
    Given a service with 1 targets of 1 slots
    And a workspace with a limit of 100 tokens a second
    When a request of 800 tokens is placed and ends as turned_away
    Then a request of 800 tokens is placed

  Scenario: A further run of a request is charged like the first
    Given a service with 1 targets of 1 slots
    And a workspace with a limit of 100 tokens a second
    When a request of 500 tokens is placed and ends as broken
    Then its second attempt is refused for the limit with a wait of 5 s or more

  # Guards against telling all refused callers the moment at which one of them fits.
  Scenario: A refused caller that comes back when it was told is served
    Given a limit of 4000 tokens a second and a burst of 12000, judged over 8 s with 10 in 100 and 7000 excess
    When for 16 s 40 requests a second of 200 tokens come, and come back as told up to 5 times
    Then at least 0.95 of them are served, and at least 0.85 within two tries
