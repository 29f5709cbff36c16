Feature: What is known of the versions that began streams is bounded, and never a guess
  Guards against streams that go on at a version which did not begin them.

  Scenario: The origins of streams take bounded memory and time
    When 250000 streams begin within 10 s
    Then at most 400000 origins are kept, the last ones among them
    When nothing begins for 45 s but one stream
    Then the streams before it are forgotten after another 25 s

  # Guards against a version that a stream was placed at, while events came from another one.
  Scenario: The version that sent the first event counts, not one that a stream was placed at
    When a stream is placed at "v1", and again at "v2" before any event
    Then its origin is not known
    When its first event comes from "v1"
    Then its origin is "v1"

  Scenario Outline: The origin of a stream that is taken over and <case> is <outcome>
    When a stream of "v2" that <case> is taken over
    Then its origin is <outcome>

    Examples:
      | case                | outcome   |
      | has sent no event   | not known |
      | has sent events     | "v2"      |

  Scenario: Streams that began before a second version was listed are told too
    When 3 streams begin at "v1" while one version is listed
    Then 0 streams are told
    When a second version is listed, and 2 streams begin at "v2"
    Then 5 streams are told
    And 0 streams are told

  Scenario Outline: A resumed stream goes to its version alone: <case>
    Given a scheduler with targets of "v1" and "v2", of which "v1" is <admission>
    When a stream of "<version>" is resumed 4 times
    Then it gets <outcome>

    Examples:
      | case                           | admission   | version | outcome        |
      | both serve                     | open        | v1      | v1             |
      | both serve                     | open        | v2      | v2             |
      | an order has replaced its own  | replaced    | v1      | v1             |
      | its own was rolled back        | rolled back | v1      | refused 3016   |
      | its own is listed no more      | open        | v3      | refused 3016   |

  Scenario: New streams do not go to a version that takes only its own
    Given a scheduler with targets of "v1" and "v2", of which "v1" is replaced
    When 4 new streams come
    Then they get v2

  Scenario Outline: The versions that may have begun streams: <case>
    Given lists with <lists>
    Then at <at> s the versions of streams may be <versions>

    Examples:
      | case                             | lists                            | at | versions |
      | one version                      | v1 from 0 s                      | 60 | v1       |
      | a second one beside it           | v1 from 0 s, v2 from 5 s         | 6  | v1, v2   |
      | the first has just left          | v1 from 0 to 30 s, v2 from 5 s   | 60 | v1, v2   |
      | the first has left long ago      | v1 from 0 to 30 s, v2 from 5 s   | 75 | v2       |

  Scenario Outline: What the rollout book lacks of the list is reported: <case>
    Given a rollout book with <book>
    And lists with <lists>
    Then at <at> s with a delay of <delay> s the report is <report>

    Examples:
      | case                                         | book                     | lists                          | at | delay | report                             |
      | nothing is known                             | nothing                  | v1 from 0 s                    | 1  | 0     | v1, v1 in force                    |
      | nothing is new                               | v1 in force, v1          | v1 from 0 s                    | 1  | 0     | nothing                            |
      | a version that nobody ordered                | v1 in force, v1          | v1 from 0 s, v2 from 2 s       | 3  | 0     | v1, v2                             |
      | it waits for its order                       | v1 in force, v1          | v1 from 0 s, v2 from 2 s       | 6  | 5     | nothing                            |
      | the others give way to it                    | v1 in force, v1          | v1 from 0 s, v1 from 0 to 4 s, v2 from 2 s | 4 | 5 | v2 |
      | no order has come                            | v1 in force, v1          | v1 from 0 s, v2 from 2 s       | 7  | 5     | v1, v2                             |
      | it is all that is left                       | v1 in force, v1          | v1 from 0 to 3 s, v2 from 2 s  | 4  | 5     | v1, v2                             |
      | the version in force has left                | v1 in force, v1, v2      | v1 from 0 to 3 s, v2 from 2 s  | 9  | 0     | v1, v2, v2 in force after v1       |
      | a version that left long ago is dropped      | v2 in force, v1, v2      | v2 from 0 s                    | 50 | 0     | v2, whole                          |

  # Guards against a gateway that is cut off and takes the only version that it knows for the only one.
  Scenario Outline: A stream that no process knows <outcome>: <case>
    Given a gateway that has known its list for <known> s, last read <age> s ago, with <lists>
    And the keepers, <lease>, have a rollout book with <book>
    And the list is read anew by <reader> once the stream is resumed
    Then a stream that no process knows <outcome>

    Examples:
      | case                                      | known | age | lists                    | book            | lease       | reader                | outcome    |
      | one version, watched for long             | 45    | 1   | v1 from 0 s              | nothing         | unconfirmed | a scheduler           | goes to v1 |
      | the same, at a gateway that decides alone | 45    | 1   | v1 from 0 s              | nothing         | unconfirmed | the gateway           | goes to v1 |
      | another version may be listed by now      | 45    | 1   | v1 from 0 s              | nothing         | unconfirmed | nobody                | is unknown |
      | a scheduler has read of another version   | 45    | 1   | v1 from 0 s              | nothing         | unconfirmed | a scheduler, with v2, | is unknown |
      | the gateway reads of another version      | 45    | 1   | v1 from 0 s              | nothing         | unconfirmed | the gateway, with v2, | is unknown |
      | one version, and the book knows no other  | 5     | 1   | v1 from 0 s              | v1 in force, v1 | confirmed   | a scheduler           | goes to v1 |
      | another version may be in the book by now | 5     | 1   | v1 from 0 s              | v1 in force, v1 | confirmed   | nobody                | is unknown |
      | the book may be old                       | 5     | 1   | v1 from 0 s              | v1 in force, v1 | unconfirmed | a scheduler           | is unknown |
      | the book knows another one                | 5     | 1   | v2 from 0 s              | v1 in force, v1 | confirmed   | a scheduler           | is unknown |
      | two versions                              | 45    | 1   | v1 from 0 s, v2 from 1 s | nothing         | confirmed   | a scheduler           | is unknown |
      | the list may be old                       | 45    | 9   | v1 from 0 s              | v1 in force, v1 | confirmed   | nobody                | is unknown |
      | no list was read for a while              | 45    | 9   | v1 from 0 s              | nothing         | unconfirmed | the gateway           | is unknown |
      | the keepers confirm the book 0.3 s later  | 5     | 1   | v1 from 0 s              | v1 in force, v1 | late        | a scheduler           | goes to v1 |
      | the list is not known                     | 0     | 9   | nothing                  | nothing         | confirmed   | nobody                | is unknown |

  Scenario Outline: Where one version is known, a stream that <asked> <outcome>
    Given a gateway that has known its list for 45 s, last read 1 s ago, with v1 from 0 s
    And the keepers, unconfirmed, have a rollout book with nothing
    And the list is read anew by nobody once the stream is resumed
    Then a stream that <asked> <outcome>

    Examples:
      | asked                                    | outcome    |
      | one of two processes knows               | goes to v1 |
      | one of two processes knows at v2         | goes to v2 |
      | processes know whose links do not open   | is unknown |
      | two processes know at different versions | is unknown |

  Scenario Outline: Where two versions are listed, a stream that <asked> <outcome>
    Given a gateway that has known its list for 45 s, last read 1 s ago, with v1 from 0 s, v2 from 1 s
    And the keepers, confirmed, have a rollout book with nothing
    And the list is read anew by a scheduler once the stream is resumed
    Then a stream that <asked> <outcome>

    Examples:
      | asked                                             | outcome    |
      | one of two processes knows                        | goes to v1 |
      | processes know whose links open within 0.3 s      | goes to v1 |
      | processes know whose links do not open            | is unknown |
      | two processes know at different versions          | is unknown |
