Feature: A scheduler or gateway that starts to decide takes over the known state

  Scenario: A scheduler that takes over counts the prompts still in prefill
    Given a scheduler that takes over a prompt of 20000 tokens at each target
    And the first target has begun to answer, the second has not
    When a request of 1000 tokens arrives there
    Then the first target gets it
    And the second target has 20000 tokens before it

  Scenario: Gateways that decide locally do not all choose the same target
    Given 40 gateways that decide locally for 16 equal targets
    When each of them places one request
    Then no target gets more than 12 of them

  Scenario: A scheduler that sees all requests chooses the first of equal targets
    Given a scheduler of 16 equal targets
    When it places one request twice from the beginning
    Then both went to the same target

  Scenario: A scheduler that takes over knows which targets gateways measured as slow
    Given 3 gateways that saw the first of 2 targets read ten times slower than the second
    And a scheduler that takes over what they saw
    When a request of 4000 tokens arrives there
    Then the second target gets it, expected within 0.4 s

  Scenario: Only the latest speeds of a limited number of targets are passed on
    Given a gateway that saw 40 targets, the first 10 of them 30 s ago
    Then it passes 16 of them on, the latest first
    And nothing 30 s later

  Scenario: A request that moves to another scheduler keeps its due time
    Given a scheduler whose only slot is taken
    When a request moves there with 0.6 of 1 s spent, after a new one with 0.5 s
    And the slot gets free there
    Then the request that moved gets it

  Scenario: The second attempt reports how much of the objective the first one used
    Given a call that arrived 0.2 s ago
    When it asks for a second target
    Then it reports that 0.2 s are spent

  Scenario: A late request that moves to another scheduler is not refused if the queue is empty
    Given a scheduler whose only slot is taken and gets free every 0.1 s
    When a request moves there with 0.5 of 0.4 s spent
    Then it waits there
    When the slot gets free there
    Then the request that moved gets it

  # A request with little of its objective left must not be refused because of a wait of some
  # milliseconds after a change of scheduler.
  Scenario: A nearly late request that moves to another scheduler is not refused because of a short wait
    Given a scheduler whose only slot is taken and gets free every 0.1 s
    When a request moves there with 0.25 of 0.4 s spent
    Then it waits there
    When the slot gets free there
    Then the request that moved gets it

  Scenario: A new request is still refused if it cannot meet its objective
    Given a scheduler whose only slot is taken and gets free every 0.5 s
    When a request moves there with 0 of 0.4 s spent
    Then it is refused there

  Scenario: A scheduler with an old list does not use a target that a gateway knows to be draining
    Given a scheduler that takes over from an older list of 2 targets
    When a gateway reports that the first target is draining, and asks twice
    Then both requests go to the second target

  # Guards against requests to targets that a standby's list does not show as leaving yet.
  Scenario Outline: A gateway that <whom> gets the list of a scheduler that read it <age> s ago: <told> targets
    Given a scheduler that knows 20 targets
    And it has read its list <age> s ago
    When a gateway that <whom> and holds another list sends a heartbeat
    Then it is told <told> targets
    And the scheduler reads its list <when>

    Examples:
      | whom          | age | told | when            |
      | decides alone | 0.5 | 20   | in its own time |
      | decides alone | 4.5 | 0    | at once         |

  Scenario Outline: A gateway that <whom> and holds <which> list gets <count> targets with a heartbeat
    Given a scheduler that knows 3 targets
    When a gateway that <whom> and holds <which> list sends a heartbeat
    Then it is told <count> targets

    Examples:
      | whom                   | which      | count |
      | asks this scheduler    | another    | 3     |
      | asks this scheduler    | the same   | 0     |
      | decides alone          | another    | 3     |
      | asks another scheduler | another    | 0     |

  # A change of one target must not send the whole list to every gateway, which exhausts the scheduler's
  # memory and delays the news of a draining target.
  Scenario: A change of one target of many costs each gateway little
    Given a scheduler that knows 3000 targets
    And 270 gateways that ask it and hold its list
    When one target leaves, another comes and a third is gone, and all send a heartbeat
    Then they are told less than 1 MB in all, and all hold its list again

  Scenario: A gateway that missed some changes gets all of them at once
    Given a scheduler that knows 3000 targets
    And 1 gateways that ask it and hold its list
    When one target leaves, another comes and a third is gone, and nobody hears of it
    And one target leaves, another comes and a third is gone, and all send a heartbeat
    Then they are told less than 0.01 MB in all, and all hold its list again

  Scenario: Full lists that many gateways need at once are sent one after the other
    Given a scheduler that knows 3000 targets
    And 270 gateways that ask it and hold none
    When all send a heartbeat
    Then they are told less than 20 MB in all, and some hold its list
    And within 20 s all hold its list

  Scenario: A gateway with an unknown list gets the full list
    Given a scheduler that knows 30 targets
    And 1 gateways that ask it and hold another
    When all send a heartbeat
    Then they are told less than 0.01 MB in all, and all hold its list again

  # Requests that spent their objective at a failed scheduler must not all be refused by the next one
  # while their callers still wait.
  Scenario: A request that spent its objective at another scheduler may wait like any late one
    Given a scheduler whose only slot is taken
    When a request moves there with 0.5 of 0.4 s spent
    And 0.6 s pass at that scheduler
    Then it waits there
    When the slot gets free there
    Then the request that moved gets it

  Scenario: A request that spent its objective at another scheduler waits no longer than any late one
    Given a scheduler whose only slot is taken
    When a request moves there with 0.5 of 0.4 s spent
    And 0.9 s pass at that scheduler
    Then it is refused there
