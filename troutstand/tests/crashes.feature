Feature: Requests that end targets are found out, and sound ones beside them are not blamed

  Background:
    Given a service with 6 targets of 4 slots

  Scenario: A request is refused after the third target that ends under it
    When 3 targets end in turn under the body p
    Then a request with the body p is refused with 3012 and told to come back in 600 s
    And one with the body s has a target

  Scenario: A connection that breaks at a living target is no end of it
    When 4 answers in turn break off for the body p at targets that live
    Then a request with the body p has a target

  Scenario: A refused connection soon afterwards tells that the target had ended
    When 3 answers in turn break off for the body p, and 1 s later the target refuses a connection
    Then a request with the body p is refused with 3012 and told to come back in 599 s

  Scenario: A refused connection long afterwards tells nothing of the answer that broke off
    When 3 answers in turn break off for the body p, and 3 s later the target refuses a connection
    Then a request with the body p has a target

  Scenario Outline: An answer of the target's own clears a request
    When 2 targets end in turn under the body p
    And a request with the body p ends as <ending>
    And 2 targets end in turn under the body p
    Then a request with the body p has a target

    Examples:
      | ending |
      | whole  |
      | failed |

  Scenario Outline: What is no answer clears nothing
    When 2 targets end in turn under the body p
    And a request with the body p ends as <ending>
    And 1 targets end in turn under the body p
    Then a request with the body p is refused with 3012 and told to come back in 600 s

    Examples:
      | ending      |
      | turned_away |
      | unsent      |
      | left        |

  Scenario: Targets that end at once under a body that many ask for count as one
    When a request with the body s runs at each target, and all of them end at once
    Then a request with the body s waits or has a target

  Scenario: A sound request that shares two targets with a deadly one runs apart from it
    When the bodies p and s run at one target as it ends, twice
    And requests with the bodies p and s arrive
    Then they run at different targets
    When the target of p ends
    Then a request with the body p is refused with 3012 and told to come back in 600 s
    And the request with the body s ends whole, and the next one has a target

  Scenario: A request on trial runs once at a time, and those that wait hear of its end
    When 2 targets end in turn under the body p
    And 2 requests with the body p arrive
    Then one of them runs and one waits
    When the target of p ends
    Then the waiting one is refused with 3012

  Scenario: Those that wait for a trial keep no other from a target
    When 2 targets end in turn under the body p
    And 40 requests with the body p arrive
    Then at most 3 of them run or wait, and the others come back in 1 s
    And one with the body s has a target

  Scenario: A trial shows nothing at a target that lost answers lately
    When 2 targets end in turn under the body p
    And all other targets but the last break an answer
    Then a request with the body p runs at the last target

  Scenario: After its time a request is tried once more, and refused for twice as long
    When 3 targets end in turn under the body p
    And 601 s pass for a decider
    And 1 targets end in turn under the body p
    Then a request with the body p is refused with 3012 and told to come back in 1200 s

  Scenario: A suspicion without any further end is dropped
    When 2 targets end in turn under the body p
    And 601 s pass for a decider
    And 2 targets end in turn under the body p
    Then a request with the body p has a target

  Scenario: A decider that takes over knows what the one before knew
    When 2 targets end in turn under the body q
    And 3 targets end in turn under the body p
    And another decider takes over what gateways were told
    Then a request with the body p is refused with 3012 and told to come back in 600 s
    When 1 targets end in turn under the body q
    Then a request with the body q is refused with 3012 and told to come back in 600 s

  Scenario: What two deciders saw adds up, and what both saw counts once
    When 2 targets end in turn under the body p
    And another decider takes over what gateways were told twice
    Then a request with the body p has a target
    When 1 targets end in turn under the body p
    Then a request with the body p is refused with 3012 and told to come back in 600 s

  # Guards against losing a crash that is reported late: a connection may be reset shortly before
  # the target's address refuses new ones.
  Scenario: An end that is told after later ones counts as well
    When an answer to the body p breaks off, and 2 targets end in turn under it
    And the first target refuses a connection 0.1 s later
    Then a request with the body p is refused with 3012 and told to come back in 600 s

  Scenario: What is kept of requests is bounded
    When a target ends under each of 3000 bodies
    Then at most 2000 bodies are kept, and at most 64 are told to others
