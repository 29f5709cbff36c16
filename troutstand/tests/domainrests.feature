Feature: Entry processes and their scheduler leave targets alone that ask for rest

  # The same cause as in resting.feature, at the OpenAI side: what a refusal asked for was not
  # read. An engine that answered 503 counted as faulty and was tried again after 1 s, however
  # long it wanted rest; the 503 of a plain service passed as its answer, so that the worker
  # that gave it counted as sound and went on getting calls.

  Scenario: An engine that turns requests away is left alone as long as it asks
    Given a site of 3 engines of which 1 turns requests away and asks for 4 s of rest
    When for 5 s 10 prompts a second are asked for
    Then that engine got at most 2 requests later than 0.5 s after its first
    And every prompt is answered

  Scenario: A service worker that turns calls away is left alone as long as it asks
    Given a site whose first service worker turns calls away and asks for 4 s of rest
    When for 4 s 10 calls a second are made
    Then that worker got at most 2 calls later than 0.5 s after its first
    And at least 0.9 of the calls are answered with 200
