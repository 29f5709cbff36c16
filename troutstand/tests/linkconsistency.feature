Feature: A scheduler counts what its gateways run, whatever their links drop
  Guards against slots that stay taken at the scheduler after their requests have ended.

  Scenario: Endings that a link drops free their slots
    Given a scheduler and a gateway that runs 4 requests at its only target of 4 slots
    When the endings of all 4 are lost, and the gateway sends heartbeats
    Then the scheduler counts 0 requests at the target within 2 heartbeats
    And its log and its counter name 4 entries of "ended"
    And a new request gets the target

  Scenario: A heartbeat that equals what the scheduler believes changes nothing
    Given a scheduler and a gateway that runs 4 requests at its only target of 4 slots
    When the gateway sends heartbeats
    Then the scheduler counts 4 requests at the target within 2 heartbeats
    And no state was asked for

  Scenario: A placement on its way to its gateway keeps its slot
    Given a scheduler and a gateway that runs 2 requests at its only target of 4 slots
    When a placement is on its way, and the gateway sends a heartbeat before it arrives
    Then the scheduler counts 3 requests at the target within 0 heartbeats
    When it arrives
    Then the scheduler counts 3 requests at the target within 3 heartbeats
    And no state was asked for

  Scenario: A placement that was lost frees its slot
    Given a scheduler and a gateway that runs 2 requests at its only target of 4 slots
    When a placement is lost for 0.3 s, and the gateway sends heartbeats
    Then the scheduler counts 2 requests at the target within 2 heartbeats
    And its log and its counter name 1 entries of "not_running"

  Scenario: A request that the scheduler has dropped is counted again and charged once
    Given a scheduler and a gateway that runs 2 requests at its only target of 4 slots
    When the scheduler has dropped the gateway, and the gateway sends heartbeats
    Then the scheduler counts 2 requests at the target within 2 heartbeats
    And the workspace is charged 2 times 10 tokens

  Scenario Outline: A crash whose message was lost is counted once
    Given a scheduler and a gateway that runs 1 requests at its only target of 4 slots
    When its target breaks off and the message is <what>, and the gateway sends heartbeats
    Then the scheduler counts 0 requests at the target within 2 heartbeats
    And the scheduler knows of 1 crash of the request

    Examples:
      | what |
      | lost |
      | late |

  Scenario Outline: What a link drops of a running request is corrected
    Given a scheduler and a gateway that runs 2 requests at its only target of 4 slots
    When the first <message> is lost, and the gateway sends heartbeats
    Then the scheduler counts 2 requests at the target within 2 heartbeats
    And its log and its counter name 1 entries of "<table>"

    Examples:
      | message   | table       |
      | FirstByte | first_bytes |
      | PathLost  | path_losses |
      | Silence   | silences    |

  # A request that waited on a closed connection took a slot that nobody used.
  Scenario: A request whose connection has closed takes no slot
    When a gateway's connection closes while its request waits, and its only target becomes free
    Then the request has taken no slot of it

  # The slot of such a placement stayed taken until a later heartbeat.
  Scenario: A gateway tells at once of a placement that it does not run
    Given a gateway that is attached to a scheduler
    When a placement arrives that none of its requests waits for
    Then its next heartbeat is due at once and says that the placement has arrived

  Scenario: A request that is placed twice at a target counts once
    Given a target that runs a prompt of 1000 tokens
    When the same request is placed there again
    Then the target has 1 request and 1000 tokens before its first byte

  Scenario Outline: Tables are equal 2 s after the last fault of a link
    Given links between a scheduler and <gateways> gateways that lose messages, with seed <seed>
    When their tables are compared 2 s after the last fault
    Then they are equal, and without digests they are not
    And a digest takes at most 64 bytes of a heartbeat

    Examples:
      | gateways | seed |
      | 1        | 5    |
      | 2        | 3    |
      | 4        | 1    |
      | 8        | 4    |
      | 14       | 7    |
      | 79       | 11   |
      | 330      | 9    |
      | 330      | 226  |
      | 330      | 402  |
      | 330      | 456  |
      | 330      | 910  |
