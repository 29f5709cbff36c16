Feature: Entry processes and their scheduler respect the backoff that targets ask for

  # Guards against ignoring the backoff that an engine or service worker asks for in a 503: it was
  # retried too early, or its 503 counted as a healthy response.

  Scenario: An engine that rejects requests gets none for the backoff it asks for
    Given a site of 3 engines of which 1 turns requests away and asks for 4 s of rest
    When for 5 s 10 prompts a second are asked for
    Then that engine got at most 2 requests later than 0.5 s after its first
    And every prompt is answered

  Scenario: A service worker that rejects calls gets none for the backoff it asks for
    Given a site whose first service worker turns calls away and asks for 4 s of rest
    When for 4 s 10 calls a second are made
    Then that worker got at most 2 calls later than 0.5 s after its first
    And at least 0.9 of the calls are answered with 200

  Scenario: A target gets no requests during its backoff
    Given a scheduler with 2 trusted targets of 2 slots
    When a request is turned away by a target that asks for 5 s of rest
    Then that target gets nothing for 4.9 s, and the other one is full
    And after 0.2 s it gets requests again

  Scenario: A complete response to an earlier request does not end the backoff
    Given a scheduler with 2 trusted targets of 2 slots
    When a request is turned away by a target that asks for 5 s of rest, and another one ends whole
    Then that target gets nothing for 4.9 s, and the other one is full

  Scenario: A request that would have to wait for all backoffs is refused on arrival
    Given a scheduler with 1 trusted targets of 2 slots
    When a request is turned away by a target that asks for 30 s of rest
    Then the next request is shed at once with 3013

  Scenario: A backoff survives a change of scheduler
    Given a scheduler with 2 trusted targets of 2 slots
    When a request is turned away by a target that asks for 5 s of rest
    And an entry process reports to another scheduler
    Then that target gets nothing for 4.9 s, and the other one is full
