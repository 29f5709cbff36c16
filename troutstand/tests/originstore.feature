Feature: What keepers know of streams survives the ends of processes and lost links
  Guards against streams that can't be resumed after all keepers and schedulers were killed at once.

  Scenario Outline: A keeper that <end> still knows the streams that it was told
    Given a keeper that was told of 3 streams of "v1" and 2 of "v2"
    When it <end>
    Then it knows the version of 5 streams

    Examples:
      | end                                       |
      | is killed                                 |
      | is killed 4 times in a row                |
      | is killed, its last write torn            |
      | is killed after 25 s, with more told then |

  Scenario: The last version that a keeper was told counts after a restart
    Given a keeper that was told of 3 streams of "v1" and 2 of "v2"
    When the first stream is told again at "v3", and it is killed
    Then the first stream's version is "v3"

  Scenario: The last version that a keeper was told counts where its clock was set back
    Given a keeper that was told of 3 streams of "v1" and 2 of "v2"
    When its clock is set back by 5 s
    And the first stream is told again at "v3", and it is killed
    Then the first stream's version is "v3"

  Scenario: A keeper without room on its disk goes on and knows what it is told
    Given a keeper that was told of 3 streams of "v1" and 2 of "v2"
    When its disk refuses writes while it is told of 4 streams of "v3"
    Then it knows the version of 9 streams
    And the refusal is logged once
    When its disk takes writes again, it is told of 1 streams of "v3" and is killed
    Then it knows the version of 6 streams

  Scenario: Streams of long ago are not restored
    Given a keeper that was told of 3 streams of "v1" and 2 of "v2"
    When it is started 90 s later
    Then it knows the version of 0 streams

  Scenario: Its files stay bounded
    Given a keeper that was told of 3 streams of "v1" and 2 of "v2"
    When it is told of 100 streams a second for 200 s
    Then its files together hold at most 40 s of them

  Scenario Outline: All that is known is told again to a keeper whose link was opened anew: <case>
    Given a process that knows 12000 streams and is linked to 2 keepers, with <versions>
    When the link to "keeper-1" <change>
    Then "keeper-1" is told of <told> streams, at most 5000 at a time
    And "keeper-2" is told of 0 streams, at most 5000 at a time

    Examples:
      | case                   | versions     | change              | told  |
      | it was lost            | two versions | is opened anew      | 12000 |
      | it is still lost       | two versions | is down             | 0     |
      | nothing has happened   | two versions | stays open          | 0     |
      | one version is listed  | one version  | is opened anew      | 0     |
