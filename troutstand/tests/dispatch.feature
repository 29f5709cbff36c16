Feature: One queue a service decides who is served, who waits and who is refused

  Background:
    Given a service with 2 targets of 2 slots

  Scenario: Requests spread over the targets
    When 4 requests of tier 1 arrive
    Then each target has 2 requests

  Scenario: A higher tier goes first when a slot gets free
    Given every slot is taken
    When a request of tier 2 arrives, then one of tier 0
    And a slot gets free
    Then the request of tier 0 has a target and that of tier 2 waits

  Scenario: Who cannot be served in time is refused at once, with a time to come back
    Given every slot is taken by requests that hold it for 2 s
    When 40 requests of tier 1 with an objective of 0.5 s arrive
    Then some of them are refused at once with 3001 and a time to come back
    And nobody is refused while a slot is free

  Scenario: A leaving target gets nothing new
    Given the list says that the first target is draining
    When 3 requests of tier 1 arrive
    Then the first target has 0 requests
    And the second target has 2 requests

  Scenario: A target that breaks answers is held off, then tried gently
    When the first target breaks 2 answers
    Then the first target gets nothing for 0.3 s
    And after 5 s the first target gets one request at a time

  Scenario: A target that owes its first byte for long is held off
    When a request went to each target and the second answers
    And 2 s pass
    Then the first target gets nothing for 0.1 s

  Scenario: A request goes where its prompt is kept
    Given the second target has read the prompt parts p1 and p2
    When a request with the prompt parts p1 and p2 arrives
    Then the second target has 1 requests

  Scenario: A gateway that is gone frees its slots
    Given every slot is taken
    When a request of tier 1 arrives from another gateway
    And the first gateway is gone
    Then the request of the other gateway has a target

  Scenario: An abandoned request gives its tokens back
    Given the workspace may take 100 tokens at once
    And every slot is taken by others
    When a request of 80 tokens waits and is abandoned
    Then another of 80 tokens is not refused for its limit

  Scenario: A request waits for a busy fast target rather than come late at a free slow one
    Given the first target reads 20000 tokens a second and the second 200000
    And the second target is full and ends a request every 0.05 s
    When a request of 20000 tokens with an objective of 0.5 s arrives
    Then it waits, and gets the second target when a slot is free there

  Scenario: A long prompt does not go where it would make other streams pause
    Given a service with 2 targets of 4 slots
    And the first target reads 2000 tokens a second and the second 200000
    And the first target streams to 2 callers that bear pauses of 0.25 s
    And the second target is full and ends a request every 0.05 s
    When a request of 6000 tokens with an objective of 7 s arrives
    Then it waits, and gets the second target when a slot is free there
    When a request of 100 tokens with an objective of 2 s arrives
    Then the first target has 3 requests

  Scenario: Who cannot be in time any more lets others of its tier go first
    Given a service with 1 targets of 1 slots
    And the target reads 10000 tokens a second and its slot is taken
    When a request of 4000 tokens with an objective of 0.8 s arrives, then one of 100 with 1.2 s
    And the slot gets free after 0.5 s
    Then the later request has the target and the earlier one waits

  Scenario: A scheduler that has learnt nothing refuses nobody by a guess
    Given a service with 1 targets of 2 slots
    When 40 requests with an objective of 0.3 s arrive at once
    Then none of them is refused on arrival

  Scenario: A scheduler that takes over goes by what the one before had learnt
    Given a service with 1 targets of 2 slots
    And the scheduler before had learnt that a request holds its slot for 0.4 s
    When 40 requests with an objective of 1 s arrive at once
    Then those that can't be in time are refused on arrival
    And a hold learnt here is not replaced by one passed on

  Scenario: Among like targets a gateway gets one that it has a connection to
    Given a service with 4 targets of 2 slots
    When a gateway's requests come and end one after the other
    Then all of them got the same target
    And another gateway's request beside a running one gets another target
    And after 5 s a connection is taken to be closed

  Scenario: What an ending costs does not grow with the queue
    Given a service with 40 targets of 2 slots
    And every slot is taken and 10 requests wait that no open target suits
    When a slot is free, then the same with 300 more that wait
    Then about as many targets were looked at both times

  Scenario: Who is late and finds no slot is refused long before its deadline
    Given a service with 1 targets of 1 slots
    And the target's slot is taken for long
    When a request with an objective of 0.3 s and 8 s left waits
    Then it is refused with 3001 after 0.3 to 0.8 s, with a time to come back

  Scenario: Who is overtaken late in its wait is refused as soon as that is clear
    Given a service with 1 targets of 1 slots
    And every ending frees the slot after 0.2 s and the slot is taken
    When a request of tier 2 has waited 0.6 s of an objective of 2 s
    And 20 requests of tier 1 with an objective of 20 s arrive before it
    Then it is refused with 3001 within 0.1 s

  Scenario: A lone request is tried though every target is held off for its failures
    Given every slot is taken
    When every running answer breaks
    And a lone request with an objective of 0.4 s arrives 0.3 s later
    Then it has a target within 0.1 s

  Scenario: Targets that stay dead do not spend all who wait
    Given every slot is taken
    When every running answer breaks
    And 20 requests wait for 0.9 s while every target loses what it gets
    Then 1 to 10 of them were tried, one at a time

  Scenario: Targets that turn probes away do not get all who wait
    Given every slot is taken
    When every running answer breaks
    And 20 requests wait for 0.9 s while every target turns away what it gets
    Then 1 to 10 of them were tried, one at a time

  Scenario: A probe that is lost does not lengthen the hold
    Given every slot is taken
    When every running answer breaks
    And 20 requests wait for 0.9 s while every target loses what it gets
    And 0.2 s pass there with nothing asked
    Then no target is held off any more

  Scenario: Half of the targets may be held off without a probe
    Given every slot is taken
    When the answers at the first target break
    Then the first target gets nothing for 0.9 s

  Scenario: A request that may not be repeated waits for a sound target
    Given a service with 3 targets of 2 slots
    And all but the third target lost their answers and the third is full
    When a request that may not be repeated arrives 0.3 s later
    Then it waits, and gets the third target when a slot is free there
    But one that may be repeated is tried at a target that is held off

  Scenario: A request that may not be repeated is tried where no target is sound
    Given every slot is taken
    When every running answer breaks
    And a request that may not be repeated arrives 0.3 s later
    Then it has a target within 0.1 s

  Scenario: A service of one target goes on trying it
    Given a service with 1 targets of 4 slots
    When its running answers break
    And a lone request with an objective of 0.4 s arrives 0.3 s later
    Then it has a target within 0.1 s

  Scenario: A probe that is never answered leaves the other target to others
    Given every slot is taken
    When every running answer breaks, and every target is held off for 4 s
    And a lone request with an objective of 8 s arrives 0.3 s later
    And a second one arrives 0.3 s later
    Then the second has the other target when the first has owed its first byte for long

  Scenario: The target that was held off first is probed first
    Given every slot is taken
    When the answers at the second target break, and 0.1 s later those at the first
    And a lone request with an objective of 0.4 s arrives 0.3 s later
    Then the second target has 1 requests

  Scenario: A probe that is being answered leaves the other target to others
    Given every slot is taken
    When every running answer breaks
    And a lone request with an objective of 8 s arrives 0.3 s later
    And its first byte comes
    And a second one arrives 0.1 s later
    Then each target has 1 requests

  Scenario: A sound target that was tried in vain keeps no request waiting
    Given a service with 3 targets of 2 slots
    And all but the third target lost their answers and the third is full
    When a request that may not be repeated arrives 0.3 s later, turned away by the third
    Then it has a target within 0.1 s

  Scenario: Among requests of one route the workspace's tier goes first
    Given every slot is taken
    When a request of a second-tier workspace arrives, then one of a first-tier workspace on the same route
    And a slot gets free
    Then the request of the first-tier workspace has a target and the other waits
