Feature: The domain's scheduler finds out requests that end targets, and entry processes keep it

  Background:
    Given a scheduler with 6 trusted targets of 2 slots

  Scenario: A request is refused after the third target that ends under it
    When 3 of the targets end in turn under the prompt p
    Then a request with the prompt p is shed with 3012 and comes back in 600 s or more
    And a request with the prompt s is granted

  Scenario: An answer that breaks off at a living target does not count
    When 4 answers to the prompt p break off at targets that live
    Then a request with the prompt p is granted

  Scenario: A whole answer clears a request
    When 2 of the targets end in turn under the prompt p
    And a request with the prompt p is answered
    And 2 of the targets end in turn under the prompt p
    Then a request with the prompt p is granted

  Scenario: A request on trial runs once at a time, and those that wait hear of its end
    When 2 of the targets end in turn under the prompt p
    And 3 requests with the prompt p are submitted
    Then 1 of them is granted and 2 wait
    When the granted one ends its target
    Then the waiting ones are shed with 3012

  Scenario: More of a request on trial are told to come back
    When 2 of the targets end in turn under the prompt p
    And 9 requests with the prompt p are submitted
    Then 1 of them is granted and 2 wait

  Scenario: What a caller was refused for outlives the scheduler
    When 3 of the targets end in turn under the prompt p
    And an entry process is refused the prompt p and reports to another scheduler
    Then a request with the prompt p is shed with 3012 and comes back in 599 s or more

  Scenario: An attempt at an engine that ended while it answered counts as sent
    Given an engine that ends after its third event
    When an entry process reads its answer
    Then the answer is cut, and the request may have run

  Scenario: A prompt that ends engines reaches three of them
    Given a site of 5 engines that one prompt ends
    When the deadly prompt is asked for 8 times
    Then 3 engines have ended, and the last refusal is 3012
    And another prompt is answered
