Feature: One queue per service decides which requests are placed, wait or are refused

  Background:
    Given a service with 2 targets of 2 slots

  Scenario: Requests spread over the targets
    When 4 requests of tier 1 arrive
    Then each target has 2 requests

  Scenario: A free slot goes to the highest waiting tier
    Given every slot is taken
    When a request of tier 2 arrives, then one of tier 0
    And a slot gets free
    Then the request of tier 0 has a target and that of tier 2 waits

  Scenario: A request that cannot meet its objective is refused on arrival with a Retry-After
    Given every slot is taken by requests that hold it for 2 s
    When 40 requests of tier 1 with an objective of 0.5 s arrive
    Then some of them are refused at once with 3001 and a time to come back
    And nobody is refused while a slot is free

  Scenario: A draining target gets no new requests
    Given the list says that the first target is draining
    When 3 requests of tier 1 arrive
    Then the first target has 0 requests
    And the second target has 2 requests

  Scenario: A target that breaks responses is ejected, then probed with one request at a time
    When the first target breaks 2 answers
    Then the first target gets nothing for 0.3 s
    And after 5 s the first target gets one request at a time

  Scenario: A target with an overdue first byte is ejected
    When a request went to each target and the second answers
    And 2 s pass
    Then the first target gets nothing for 0.1 s

  Scenario: A request goes to the target that has its prompt cached
    Given the second target has read the prompt parts p1 and p2
    When a request with the prompt parts p1 and p2 arrives
    Then the second target has 1 requests

  Scenario: The slots of a lost gateway become free
    Given every slot is taken
    When a request of tier 1 arrives from another gateway
    And the first gateway is gone
    Then the request of the other gateway has a target

  Scenario: An abandoned request refunds its tokens
    Given the workspace may take 100 tokens at once
    And every slot is taken by others
    When a request of 80 tokens waits and is abandoned
    Then another of 80 tokens is not refused for its limit

  Scenario: A request waits for a fast busy target if the free slow one would miss its objective
    Given the first target reads 20000 tokens a second and the second 200000
    And the second target is full and ends a request every 0.05 s
    When a request of 20000 tokens with an objective of 0.5 s arrives
    Then it waits, and gets the second target when a slot is free there

  Scenario: A long prompt does not go where its prefill would stall other streams
    Given a service with 2 targets of 4 slots
    And the first target reads 2000 tokens a second and the second 200000
    And the first target streams to 2 callers that bear pauses of 0.25 s
    And the second target is full and ends a request every 0.05 s
    When a request of 6000 tokens with an objective of 7 s arrives
    Then it waits, and gets the second target when a slot is free there
    When a request of 100 tokens with an objective of 2 s arrives
    Then the first target has 3 requests

  Scenario: A request that can no longer meet its objective yields to others of its tier
    Given a service with 1 targets of 1 slots
    And the target reads 10000 tokens a second and its slot is taken
    When a request of 4000 tokens with an objective of 0.8 s arrives, then one of 100 with 1.2 s
    And the slot gets free after 0.5 s
    Then the later request has the target and the earlier one waits

  Scenario: A scheduler without measurements refuses no request on arrival
    Given a service with 1 targets of 2 slots
    When 40 requests with an objective of 0.3 s arrive at once
    Then none of them is refused on arrival

  Scenario: A scheduler that takes over uses the measurements of its predecessor
    Given a service with 1 targets of 2 slots
    And the previous scheduler had measured that a request holds its slot for 0.4 s
    When 40 requests with an objective of 1 s arrive at once
    Then those that can't be in time are refused on arrival
    And a slot time measured here is not replaced by a reported one

  Scenario: Among equal targets a gateway gets one that it has a connection to
    Given a service with 4 targets of 2 slots
    When a gateway's requests come and end one after the other
    Then all of them got the same target
    And another gateway's request beside a running one gets another target
    And after 5 s a connection is taken to be closed

  Scenario: The cost of finishing a request does not grow with the queue
    Given a service with 40 targets of 2 slots
    And every slot is taken and 10 requests wait that no open target suits
    When a slot is free, then the same with 300 more that wait
    Then about as many targets were looked at both times

  Scenario: A late request without a slot is refused long before its deadline
    Given a service with 1 targets of 1 slots
    And the target's slot is taken for long
    When a request with an objective of 0.3 s and 8 s left waits
    Then it is refused with 3001 after 0.3 to 0.8 s, with a time to come back

  Scenario: A waiting request that is overtaken is refused once it cannot meet its objective
    Given a service with 1 targets of 1 slots
    And every ending frees the slot after 0.2 s and the slot is taken
    When a request of tier 2 has waited 0.6 s of an objective of 2 s
    And 20 requests of tier 1 with an objective of 20 s arrive before it
    Then it is refused with 3001 within 0.1 s

  Scenario: A lone request is tried although every target is ejected
    Given every slot is taken
    When every running answer breaks
    And a lone request with an objective of 0.4 s arrives 0.3 s later
    Then it has a target within 0.1 s

  Scenario: Dead targets do not use up all waiting requests as probes
    Given every slot is taken
    When every running answer breaks
    And 20 requests wait for 0.9 s while every target loses what it gets
    Then 1 to 10 of them were tried, one at a time

  Scenario: Targets that reject probes do not use up all waiting requests
    Given every slot is taken
    When every running answer breaks
    And 20 requests wait for 0.9 s while every target turns away what it gets
    Then 1 to 10 of them were tried, one at a time

  Scenario: A lost probe does not extend the ejection
    Given every slot is taken
    When every running answer breaks
    And 20 requests wait for 0.9 s while every target loses what it gets
    And 0.2 s pass there with nothing asked
    Then no target is held off any more

  Scenario: No probe is sent while at most half of the targets are ejected
    Given every slot is taken
    When the answers at the first target break
    Then the first target gets nothing for 0.9 s

  Scenario: A non-repeatable request waits for a healthy target
    Given a service with 3 targets of 2 slots
    And all but the third target lost their answers and the third is full
    When a request that may not be repeated arrives 0.3 s later
    Then it waits, and gets the third target when a slot is free there
    But one that may be repeated is tried at a target that is held off

  Scenario: A non-repeatable request is tried if no target is healthy
    Given every slot is taken
    When every running answer breaks
    And a request that may not be repeated arrives 0.3 s later
    Then it has a target within 0.1 s

  Scenario: The only target of a service is tried although it is ejected
    Given a service with 1 targets of 4 slots
    When its running answers break
    And a lone request with an objective of 0.4 s arrives 0.3 s later
    Then it has a target within 0.1 s

  Scenario: An unanswered probe does not block probes of the other target
    Given every slot is taken
    When every running answer breaks, and every target is held off for 4 s
    And a lone request with an objective of 8 s arrives 0.3 s later
    And a second one arrives 0.3 s later
    Then the second has the other target when the first has owed its first byte for long

  Scenario: The target that was ejected first is probed first
    Given every slot is taken
    When the answers at the second target break, and 0.1 s later those at the first
    And a lone request with an objective of 0.4 s arrives 0.3 s later
    Then the second target has 1 requests

  Scenario: A probe with a first byte does not block probes of the other target
    Given every slot is taken
    When every running answer breaks
    And a lone request with an objective of 8 s arrives 0.3 s later
    And its first byte comes
    And a second one arrives 0.1 s later
    Then each target has 1 requests

  Scenario: A request does not wait for a healthy target that rejected it
    Given a service with 3 targets of 2 slots
    And all but the third target lost their answers and the third is full
    When a request that may not be repeated arrives 0.3 s later, turned away by the third
    Then it has a target within 0.1 s

  Scenario: Among requests of one route the workspace's tier goes first
    Given every slot is taken
    When a request of a second-tier workspace arrives, then one of a first-tier workspace on the same route
    And a slot gets free
    Then the request of the first-tier workspace has a target and the other waits
