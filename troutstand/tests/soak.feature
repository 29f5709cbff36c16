Feature: The checker of the fault soak finds violated guarantees, and a short soak has none

  Scenario: A record without a fault passes
    Given the record of a correct soak
    Then the checker finds nothing

  Scenario Outline: The checker catches <fault>
    Given the record of a correct soak
    When it is altered to contain <fault>
    Then the checker names <words>

    Examples:
      | fault                              | words               |
      | a second run of a command          | ran 2 times         |
      | a run that nobody sent             | nobody sent it      |
      | a refusal of what ran              | was refused with    |
      | an answer to another request       | got another answer  |
      | a stream without its last event    | got another answer  |
      | a stream with an event twice       | got another answer  |
      | an answer whose bytes are no HTTP  | is no HTTP          |
      | a run at a leaving target          | after the list      |
      | three runs within a rest           | of rest             |
      | a run after a target said it leaves | had said it leaves |
      | a limit that is passed             | in a window         |
      | twelve runs at a target that takes one a second | of its limit |
      | a configuration that went back     | was taken           |
      | a content that nobody sent         | nobody sent         |
      | calls that fail after the faults   | calls were served   |
      | no calls after the faults          | no call was sent    |
      | a process that ended by itself     | ended by itself     |
      | callers refused at a cut gateway   | cut gateways served |
      | a part that goes on to crash targets | targets too late  |
      | a workspace that is refused below its limit | below a limit |
      | a stream of two versions           | holds events of     |
      | a resumed stream with a gap        | has a gap           |
      | a resumed stream that ran and was refused as not run | as not run, and ran |

  Scenario Outline: The checker allows <case>
    Given the record of a correct soak
    When it is altered to contain <case>
    Then the checker finds nothing

    Examples:
      | case                                      |
      | two runs within a rest                    |
      | three runs within a rest over a restart   |
      | a run at a new life of a target that left |
      | eleven runs at a target that takes one a second |
      | twelve runs at such a target by a gateway that did not know |
      | twelve runs at such a target over a restart of the gateway |
      | twelve runs at a target that names its limit no longer |
      | callers refused at a cut gateway in its first seconds |
      | callers refused at all gateways during a cut |
      | callers refused at a cut gateway while the others are frozen |
      | a part that goes on to crash targets over a restart |

  # The end of the first of two overlapping drains must not list the target as ready.
  Scenario: A target whose drains overlap is listed as draining until the last one ends
    When a target is drained for 0.4 s, and 0.2 s later for 0.6 s
    Then it is listed as draining at 0.6 s, and as ready in a new incarnation after 0.8 s

  Scenario: A seed always gives the same plan, and other seeds give other plans
    Then seed 7 draws one plan twice and seed 8 another

  Scenario Outline: A short soak of real processes violates no guarantee
    When seed <seed> is soaked for 8 s
    Then the checker finds nothing
    And most calls were served

    Examples:
      | seed       |
      | 7          |
      | 477523074  |
      | 699416042  |
      | 1278125007 |

  Scenario Outline: A short soak with gateways cut from targets violates no guarantee
    When seed <seed> is soaked for 12 s with cuts
    Then the checker finds nothing

    Examples:
      | seed |
      | 3    |
      | 5    |

  Scenario Outline: A short soak that loses most or all processes violates no guarantee
    When seed <seed> is soaked for 12 s with losses
    Then the checker finds nothing

    Examples:
      | seed |
      | 17   |
      | 19   |

  Scenario: A short soak with two versions of the engines side by side violates no guarantee
    When seed 12 is soaked for 12 s with two versions
    Then the checker finds nothing
    And most calls were served

  Scenario: A short soak with rollouts violates no guarantee
    When seed 11 is soaked for 12 s with rollouts
    Then the checker finds nothing
    And most calls were served

  Scenario: A short soak with prompt parts that crash targets violates no guarantee
    When seed 13 is soaked for 12 s with crashing parts
    Then the checker finds nothing
