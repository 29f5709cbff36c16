Feature: An invalid entry of the target list does not affect the other entries

  Scenario Outline: One invalid entry between two valid ones
    Given a page in the <form> form with two valid entries
    When an entry with <fault> stands between them
    Then the page names the two valid targets, and one invalid entry
    And what the page names can be sent to another process

    Examples:
      | form       | fault                             |
      | own        | a missing field                   |
      | own        | slots as a text                   |
      | own        | no slots                          |
      | own        | slots below any number            |
      | own        | slots above any number            |
      | own        | slots that are not finite         |
      | own        | an unknown state                  |
      | own        | an empty id                       |
      | own        | an address that is none           |
      | own        | bytes that are no text            |
      | own        | a number in its place             |
      | own        | null in its place                 |
      | own        | a list in its place               |
      | own        | its end cut off                   |
      | own        | an escaped lone surrogate         |
      | own        | no text in its failure domain     |
      | own        | a value nested too deeply         |
      | own        | an unused field nested too deeply |
      | own        | an id too long for messages       |
      | platform's | a missing field                   |
      | platform's | slots as a text                   |
      | platform's | no slots                          |
      | platform's | slots below any number            |
      | platform's | slots above any number            |
      | platform's | slots that are not finite         |
      | platform's | an unknown state                  |
      | platform's | an empty id                       |
      | platform's | an address that is none           |
      | platform's | bytes that are no text            |
      | platform's | a number in its place             |
      | platform's | null in its place                 |
      | platform's | a list in its place               |
      | platform's | its end cut off                   |
      | platform's | an escaped lone surrogate         |
      | platform's | no text in its failure domain     |
      | platform's | a value nested too deeply         |
      | platform's | an unused field nested too deeply |
      | platform's | an id too long for messages       |

  Scenario Outline: An entry with <fault> on a page that is not JSON as a whole
    Given a page in the <form> form with two valid entries
    When an entry with <fault> stands between them behind one whose end is cut off
    Then the page names the two valid targets and no other
    And what the page names can be sent to another process

    Examples:
      | form       | fault                             |
      | own        | bytes that are no text            |
      | own        | an escaped lone surrogate         |
      | own        | no text in its failure domain     |
      | own        | a value nested too deeply         |
      | own        | an unused field nested too deeply |
      | own        | an id too long for messages       |
      | platform's | bytes that are no text            |
      | platform's | an escaped lone surrogate         |
      | platform's | no text in its failure domain     |
      | platform's | a value nested too deeply         |
      | platform's | an unused field nested too deeply |
      | platform's | an id too long for messages       |

  Scenario Outline: Random data between valid entries does not affect them
    Given a page in the <form> form with two valid entries
    Then 500 pages with random entries between valid ones name the valid ones and the next page

    Examples:
      | form       |
      | own        |
      | platform's |

  Scenario: Random bytes are a page or are refused as a whole
    Then 500 random byte strings are a page or are refused with 2003

  Scenario: A target whose entry is unreadable stays listed for two seconds
    Given a list that named the targets a and b
    When the entry of a is unreadable
    Then a is listed as ready for 2 s, and no longer

  Scenario: A target whose entry is invalid is listed as draining for two seconds
    Given a list that named the targets a and b
    When the entry of a has an unknown state
    Then a is listed as draining for 2 s, and no longer

  Scenario: A target that is missing from a valid list is removed at once
    Given a list that named the targets a and b
    When the entry of a is gone
    Then a is not listed

  Scenario: A site serves despite invalid entries, and logs each one once
    Given a routed site whose list holds 3 invalid entries beside its targets
    Then a call of /do/ through each gateway gets 200
    And a call of /stream/ through each gateway gets 200
    And the scheduler logs 3 invalid entries with their causes, each once

  Scenario Outline: A site follows its list after entries with <fault>
    Guards against a reading of the list that ends for good at an entry that cannot be read.
    Given a routed site whose list holds 0 invalid entries beside its targets
    When the list holds entries with <fault> for 3 s
    And a new target replaces the targets of the service "work"
    Then within 3 s calls of /do/ through each gateway get 200
    And no process logs a failed task

    Examples:
      | fault                                         |
      | a cut off end and bytes that are no text      |
      | a cut off end and an escaped lone surrogate   |
      | a value nested too deeply                     |
      | an id too long for messages                   |

  Scenario Outline: A site starts beside entries with <fault>
    Guards against processes that never read a list which holds entries that cannot be read.
    Given a routed site whose list holds entries with <fault> from its start
    Then within 3 s calls of /do/ through each gateway get 200
    When a new target replaces the targets of the service "work"
    Then within 3 s calls of /do/ through each gateway get 200
    And no process logs a failed task

    Examples:
      | fault                                         |
      | a cut off end and bytes that are no text      |
      | a cut off end and an escaped lone surrogate   |
      | a value nested too deeply                     |
      | an id too long for messages                   |
      | slots above any number                        |
