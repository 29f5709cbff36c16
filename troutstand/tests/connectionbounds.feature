Feature: Bounds on connections end no answer that a target works on

  # Guards against a request that is lost since its target closes an idle connection as it is written.
  Scenario Outline: A <kind> request <whether> a connection that was idle for <idle> s
    Given a target that answers in full
    When a <kind> request follows another one <idle> s later
    Then both were answered on <count> connections

    Examples:
      | kind           | idle | whether       | count |
      | non-repeatable | 1.9  | uses          | 1     |
      | non-repeatable | 2.1  | does not use  | 2     |
      | repeatable     | 2.1  | uses          | 1     |

  # Guards against a target that counts as silent, or a memory that fills, since a caller reads slowly.
  Scenario Outline: A stream of 32 MiB whose caller does not read for 3 s comes whole on a <kind> route
    Given a gateway in this process whose target sends a stream of 32 MiB
    When a caller of the <kind> route reads nothing for 3 s, and then all
    Then the stream comes whole from one request at the target
    And the target was never more than 16 MiB ahead of the caller

    Examples:
      | kind       |
      | streaming  |
      | idempotent |

  # Guards against an idle timeout that ends the connection of a request in flight.
  Scenario: A caller's connection is closed when idle, not while its request is in flight
    Given a gateway in this process that closes connections which are idle for 0.4 s
    When a caller sends a request whose answer takes 1.2 s, and then nothing
    Then the answer comes whole
    And the connection is closed 0.4 s after it

  # Guards against open tunnels that end since others are asked for.
  Scenario: Only new tunnels are refused when there are too many
    Given a peer that opens at most 2 tunnels, and a target
    When 3 tunnels are asked for
    Then the last one is refused as busy
    And the others carry an answer each
    And another one is opened after one of them has ended

  # Guards against a peer that takes a silent gateway for a lost one.
  Scenario Outline: A tunnel whose gateway <what> for <silence> s is <outcome>
    Given a peer that takes a gateway for lost after 2 s, and a target
    When the gateway of an open tunnel <what> for <silence> s
    Then the target's connection is <outcome>

    Examples:
      | what                      | silence | outcome |
      | sends nothing             | 4       | open    |
      | acknowledges no packet    | 4       | closed  |

  Scenario: A peer takes a gateway for lost after 8 s without an acknowledgement
    Then the keep-alive probes of a tunnel end after 8 s
