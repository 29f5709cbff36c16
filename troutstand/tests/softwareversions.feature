Feature: Several versions of a service's targets serve side by side, and a stream stays with its own
  Guards against streams joined from two versions, and against a service that is refused for its versions.

  Scenario Outline: <count> versions that no order names serve new streams by their slots
    Given a routed site with 2 engines of each of <count> versions
    When callers for 5 of 6 slots read new streams for 6 s
    Then each version served within 0.1 of its share of the slots
    And no stream holds events of two versions

    Examples:
      | count |
      | 2     |
      | 3     |

  Scenario Outline: New streams are served after the old version has left, <how>, with <killed> killed
    Given a routed site with 3 engines of each of 2 versions
    When 8 callers read new streams, and engines of "v1" leave <how> as <killed> are killed
    Then 0.95 of the new streams are served from 2 s after the list shows it
    And no stream holds events of two versions

    Examples:
      | how             | killed                     |
      | at once         | no processes               |
      | one by one      | no processes               |
      | at once         | all gateways               |
      | at once         | all schedulers             |
      | at once         | all processes              |

  Scenario Outline: Streams that break off go on at the version that began them, with <killed> killed
    Given a routed site with 3 engines of each of 2 versions
    When 12 callers read streams for 8 s, leave a third in the middle, and <killed> are killed
    Then no stream holds events of two versions
    And both versions served streams that were resumed
    And streams go on at least 0.95 times as often as new ones begin

    Examples:
      | killed                         |
      | no processes                   |
      | all gateways                   |
      | all gateways, three times,     |
      | the deciding scheduler         |
      | all schedulers, without a start, |
      | all gateways and schedulers    |
      | all processes                  |
      | all keepers and schedulers     |
      | all keepers and schedulers, three times, |

  # Guards against origins that only killed processes, and a gateway that is cut off, have known.
  Scenario: Streams of a gateway that is cut off go on at others after all keepers and schedulers were killed
    Given a routed site behind proxies with 3 engines of each of 2 versions
    And their streams last 7.5 s
    When 20 callers read streams of "gateway-1", which is cut off for 5 s, and all keepers and schedulers are killed
    And they take their streams up at "gateway-2" 3.5 s later
    Then no stream holds events of two versions
    And all streams that had begun before the cut go on, at least 12

  Scenario: Streams stay with their version on both sides of a split
    Given a routed site behind proxies with 3 engines of each of 2 versions
    When 12 callers read streams for 12 s at one half each, and the halves are cut off for 5 s
    Then no stream holds events of two versions
    And streams go on at least 0.95 times as often as new ones begin

  # Guards against a gateway that takes the only version that it knows for that of every stream.
  Scenario: A gateway that is cut off continues streams of the only listed version, and no others
    Given a routed site behind proxies with 3 engines of each of 1 versions
    And it has served one version for 42 s
    When "gateway-2" is cut off for 4 s, and 16 callers take up streams of "gateway-1" there
    Then at least 0.9 of the streams taken up from 1 s after the cut go on
    When "gateway-2" is cut off for 4 s as engines of "v2" come, and 16 callers take up streams of "gateway-1" there
    Then at least 6 streams that "v2" began are taken up
    And no stream holds events of two versions

  Scenario: A gateway that was frozen as a second version came joins no streams
    Given a routed site with 3 engines of each of 1 versions
    And it has served one version for 42 s
    When "gateway-2" is frozen for 2.5 s as engines of "v2" come, and 16 callers take up streams of "gateway-1" there
    Then at least 6 streams that "v2" began are taken up
    And no stream holds events of two versions

  Scenario Outline: Streams stay with their version while a rollout is <state>
    Given a routed site with 3 engines where rollouts are ordered
    When 16 callers read streams for 15 s, leave a third in the middle, and a version that <fault> is ordered
    Then no stream holds events of two versions
    And the rollout of "engine" is <state> within 5 s
    And both versions served new streams

    Examples:
      | state       | fault                       |
      | completed   | is sound                    |
      | rolled_back | fails half of its answers   |

  Scenario: Streams that targets cut go on at the version that began them, within one answer
    Given a routed site with 3 engines of each of 2 versions
    And engines cut half of their streams
    When 8 callers read new streams for 5 s
    Then no stream holds events of two versions
    And some streams were resumed within one answer

  Scenario: A stream whose version has left is refused at once as not run
    Given a routed site with 3 engines of each of 2 versions
    When a stream of "v1" is broken off, and all engines of "v1" leave
    Then it is refused with 3016 at each gateway, as not run
    And a new stream is served by "v2"

  Scenario: A stream that nobody knows is refused as not run while two versions serve
    Given a routed site with 3 engines of each of 2 versions
    When a stream is resumed that no process knows
    Then it is refused with 3017 at each gateway, as not run

  Scenario: A stream that nobody knows goes on where only one version was listed
    Given a routed site with 3 engines of each of 1 versions
    When a stream is resumed that no process knows
    Then it goes on at each gateway
    When all processes are killed and start again
    Then it goes on at each gateway
