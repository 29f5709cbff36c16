Feature: A process that is told to stop takes only what it can answer, and ends in time
  Guards against requests that are taken on kept connections after SIGTERM and cut at the end.

  Scenario: Streams that cannot end before the stop are refused, not cut
    Given a routed site whose streams take 6 s and whose processes have 8 s to stop
    When 6 callers send streams back to back on kept connections and their gateway is told to stop
    Then each of at least 12 requests was answered whole or refused as not run
    And 6 of the streams were answered whole
    And each head after SIGTERM closed its connection
    And the gateway's log tells of each refused request with 3006
    And the gateway ended by itself with 0

  Scenario Outline: Streams of another route, <known>, that arrive late in a stop beside <event> are not cut
    Given a routed site whose streams take 3.8 s and whose processes have 8 s to stop
    When 6 callers send a stream and one of another route, <known>, in a stop beside <event>
    Then each of at least 12 requests was answered whole or refused as not run
    And 6 of the streams were answered whole
    And each head after SIGTERM closed its connection
    And the gateway's log tells of each refused request with 3006
    And the gateway ended by itself with 0

    Examples:
      | known                 | event                         |
      | never answered before | nothing                       |
      | answered fast before  | nothing                       |
      | never answered before | a SIGHUP of the gateways      |
      | never answered before | a change of the configuration |

  Scenario Outline: Short requests on kept connections are answered in the first half of the stop, <known>
    Given a routed site whose streams take 3.5 s and whose processes have 8 s to stop
    When 6 callers send a stream and then a short request, <known>, and their gateway is told to stop
    Then each of at least 12 requests was answered whole
    And each head after SIGTERM closed its connection
    And the gateway ended by itself with 0

    Examples:
      | known             |
      | seen before       |
      | never seen before |

  Scenario: Short requests on new connections are answered while a stopping gateway accepts them
    Given a routed site whose streams take 6 s and whose processes have 8 s to stop
    When 6 callers send short requests on a new connection each time until a stopping gateway accepts none
    Then each of at least 100 requests was answered whole
    And each head after SIGTERM closed its connection
    And the gateway ended by itself with 0

  Scenario Outline: A request with <left> s to its deadline that arrives <at> s into a stop of 8 s is <outcome>
    Given answers of <lengths> s on its route
    Then at <at> s into a stop of 8 s a request with <left> s to its deadline is <outcome>

    Examples:
      | lengths           | at  | left | outcome |
      | 60 of 0.06        | 0.1 | 10   | taken   |
      | 60 of 0.06        | 7.0 | 10   | taken   |
      | 60 of 0.06        | 7.3 | 10   | refused |
      | 60 of 0.06        | 7.3 | 0.01 | refused |
      | 60 of 6           | 0.1 | 10   | refused |
      | 60 of 5           | 0.1 | 10   | taken   |
      | 60 of 5           | 2.0 | 10   | refused |
      | 60 of 5           | 2.0 | 5    | taken   |
      | 3 of 5, 61 of 0.1 | 4.0 | 10   | taken   |
      | 7 of 5, 57 of 0.1 | 4.0 | 10   | refused |
      | 9 of 5, 64 of 0.1 | 4.0 | 10   | taken   |
      | 0 of 0            | 3.9 | 10   | taken   |
      | 0 of 0            | 4.1 | 10   | refused |
      | 0 of 0            | 4.1 | 2    | taken   |

  Scenario Outline: A stream with <left> s to its deadline that arrives <at> s into a stop of <stop> s is <outcome>
    Given answers of <lengths> s on its route
    Then at <at> s into a stop of <stop> s a stream with <left> s to its deadline is <outcome>

    Examples:
      | lengths           | at  | stop | left | outcome |
      | 0 of 0            | 2.7 | 8    | 10   | taken   |
      | 0 of 0            | 2.8 | 8    | 10   | refused |
      | 0 of 0            | 2.8 | 8    | 4    | taken   |
      | 60 of 0.06        | 2.7 | 8    | 10   | taken   |
      | 60 of 0.06        | 2.8 | 8    | 10   | refused |
      | 60 of 0.06        | 2.8 | 8    | 4    | taken   |
      | 60 of 6           | 0.1 | 8    | 10   | refused |
      | 3 of 5, 61 of 0.1 | 2.8 | 8    | 10   | refused |
      | 0 of 0            | 2.9 | 30   | 60   | refused |
      | 0 of 0            | 0.6 | 2    | 10   | taken   |
      | 0 of 0            | 0.7 | 2    | 10   | refused |

  Scenario: Answers of a route say nothing of its answers at another service
    Given answers of 60 of 0.06 s on its route
    Then the length of answers of the route at another service is not known

  Scenario: The lengths of answers take bounded memory
    When 20 answers of each of 2000 routes are recorded, and 2000 of the last one
    Then at most 1000 routes and 64 answers of each are kept, the last ones

  Scenario Outline: Streams on kept connections come whole beside <event>
    Given a routed site whose streams take 1 s and whose processes have 8 s to stop
    When 6 callers send 4 streams each on kept connections beside <event>
    Then each of at least 24 requests was answered whole
    And no head closed its connection

    Examples:
      | event                         |
      | a SIGHUP of the gateways      |
      | a change of the configuration |
      | the end of a keeper           |
      | the end of the scheduler      |

  Scenario Outline: A <role> ends in time while a <peer> is frozen
    Given a routed site whose streams take 1 s and whose processes have 8 s to stop
    When a <role> is told to stop while a <peer> is frozen
    Then it ended by itself with 0 within 4 s

    Examples:
      | role      | peer      |
      | keeper    | gateway   |
      | keeper    | scheduler |
      | keeper    | keeper    |
      | scheduler | gateway   |

  Scenario: A link server ends in time while a peer reads nothing and replies wait
    When a link server stops while a peer leaves 32 MB of replies unread
    Then it ends within 2 s and logs "link_aborted" with the peer
