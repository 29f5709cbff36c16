Feature: Model checks of the daemon's state machines

  Scenario Outline: The invariants of <model> hold in every reachable state
    When the model "<model>" is searched to its end
    Then every property holds

    Examples:
      | model                              |
      | register, round 0 against round 1  |
      | register, round 1 against round 1  |
      | command, sent twice                |
      | command, sent twice and numbered   |
      | command, sent three times          |
      | edit, equal versions               |
      | edit, later version                |
      | lease, one keeper                  |
      | lease, a host is suspended         |
      | replacement of a keeper            |
      | rollout                            |
      | rollout, a host is suspended       |

  Scenario Outline: The invariants of <model> fail without its guard
    When the model "<model>" is searched to its end
    Then the property "<property>" is violated

    Examples:
      | model                                   | property                           |
      | register, a lost disk votes             | one value is decided               |
      | register, promises hide what stands     | one value is decided               |
      | command, silence closed as not run      | 'not run' is true                  |
      | command, dispatched without a claim     | runs at most once                  |
      | command, next attempt on silence        | 'not run' is true                  |
      | command, next attempt unasked           | 'not run' is true                  |
      | edit, resends not looked for            | every answer is the same and true  |
      | edit, base ignored                      | an edit follows its base           |
      | lease, a restarted voter votes at once  | one holder at a time               |
      | lease, a holder without its own vote    | one holder at a time               |
      | lease, a clock that a suspend stops     | one holder at a time               |
      | rollout, ends are overturned            | one end at most                    |
      | rollout, without a lease                | nothing goes to a version that was rolled back |
      | rollout, a clock that a suspend stops   | nothing goes to a version that was rolled back |
