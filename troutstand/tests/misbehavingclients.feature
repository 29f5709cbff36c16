Feature: Clients that do not behave end no process and take no other caller's service

  # Guards against memory that is bounded by the bytes that came, not by what holding them costs.
  Scenario Outline: <count> clients with <what> leave a gateway within its memory
    Given a routed site whose processes may use 128 MB and 1024 descriptors
    When <count> clients send <what> to the callers' address, and stay
    Then an ordinary request is answered beside them
    And an ordinary request is answered after they have left
    And the gateway still runs, within its memory and descriptors

    Examples:
      | count | what                                                |
      | 150   | heads of 3900 short headers, the body a byte short  |
      | 150   | heads of 2200 distinct names, the body a byte short |
      | 250   | heads of 3900 lines without their end               |
      | 200   | bodies of 4 MiB, a byte short, with a length        |
      | 200   | bodies of 4 MiB, a byte short, in large chunks      |
      | 200   | whole bodies of 4 MiB                               |
      | 100   | whole bodies of 4 MiB, and read no answer           |
      | 40    | bodies of 4 MiB of trailers without end             |
      | 60    | 60 KB of trailers without their end                 |
      | 200   | requests for 900000 bytes that nobody reads         |
      | 40    | requests for 8000000 bytes that nobody reads        |
      | 20    | 500 requests of an unknown path of 15000 bytes      |

  # Guards against processor time that is taken by the pieces of a body, not by its bytes.
  Scenario: 300 clients with bodies in chunks of one byte leave a gateway time for others
    Given a routed site whose processes may use 128 MB and 1024 descriptors
    When 300 clients send bodies of 262144 chunks of one byte to the callers' address, and stay
    Then an ordinary request is answered beside them
    And an ordinary request is answered after they have left
    And the gateway still runs, within its memory and descriptors

  # Guards against connections that their clients hold for as long as they like.
  Scenario Outline: Clients that send <what> to a gateway are closed
    Given a routed site whose processes may use 128 MB and 1024 descriptors
    When 20 clients send <what> to the callers' address, and stay
    Then the gateway closes all of them
    And an ordinary request is answered after they have left
    And the gateway still runs, within its memory and descriptors

    Examples:
      | what                                           |
      | half a head                                    |
      | half a head, and then a byte every 50 ms       |
      | a body, a byte every 50 ms                     |
      | nothing                                        |
      | a body that stops short                        |
      | trailers that stop short                       |
      | 64 MiB of empty lines                          |
      | 64 MiB of a chunk extension                    |
      | requests for 900000 bytes that nobody reads    |

  # Guards against descriptors that connections without a request hold.
  Scenario Outline: 300 clients that send <what> leave a gateway of 256 descriptors some for others
    Given a routed site whose processes may use 128 MB and 256 descriptors
    When 300 clients send <what> to the callers' address, and stay
    Then an ordinary request is answered beside them
    And an ordinary request is answered after they have left
    And the gateway still runs, within its memory and descriptors

    Examples:
      | what                    |
      | nothing                 |
      | half a head             |
      | a body that stops short |

  # Guards against a stop that waits for clients.
  Scenario Outline: A gateway ends in time while 100 clients send <what>
    Given a routed site whose processes may use 128 MB and 1024 descriptors
    When 100 clients send <what> to the callers' address, and stay
    And their gateway is asked to end
    Then it has ended on its own

    Examples:
      | what                                                |
      | half a head                                         |
      | a body that stops short                             |
      | requests for 8000000 bytes that nobody reads        |
      | bodies of 262144 chunks of one byte                 |

  # Guards against bounds that only the callers' address has.
  Scenario Outline: <count> clients with <what> at the <listener> address leave a <role> within its memory
    Given a routed site whose processes may use 128 MB and 256 descriptors
    When <count> clients send <what> to the <role>'s <listener> address, and stay
    Then the <listener> address is answered beside them
    And the <listener> address is answered after they have left
    And the <role> still runs, within its memory and descriptors

    Examples:
      | count | what                                         | listener  | role      |
      | 400   | a head of 4 MiB                              | readiness | gateway   |
      | 400   | half a head                                  | readiness | gateway   |
      | 400   | a head of 4 MiB                              | metrics   | gateway   |
      | 400   | half a head                                  | metrics   | gateway   |
      | 12    | a configuration of 16 MiB, a byte short      | control   | keeper    |
      | 400   | half a head                                  | control   | keeper    |
      | 40    | a greeting of 8 MiB, a byte short            | links     | keeper    |
      | 400   | nothing                                      | links     | keeper    |
      | 40    | a greeting of 8 MiB, a byte short            | links     | scheduler |
      | 400   | nothing                                      | tunnels   | gateway   |

  # Guards against bounds that a client inside the limits meets.
  Scenario Outline: A single request with <what> is served
    Given a routed site whose processes may use 128 MB and 256 descriptors
    When a client sends a whole request with <what>
    Then it is answered with status 200

    Examples:
      | what                                        |
      | 3900 short headers                          |
      | 2200 distinct headers                       |
      | a body of 4 MiB with a length               |
      | a body of 4 MiB in chunks of 16 bytes       |
      | a body of 256 KiB in chunks of one byte     |
      | a body and trailers of 8 KiB                |
