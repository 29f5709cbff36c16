Feature: Heads of requests and responses are passed on as they came

  # Guards against header values that are decoded by one encoding and encoded by another.
  Scenario Outline: A header value of <bytes> bytes passes unchanged on <route>
    Given a routed site whose targets send back the header value of <bytes> bytes that they got
    When a request of <route> with a header value of <bytes> bytes is written
    Then the target has got that value byte for byte
    And the caller has got that value byte for byte, and the whole body

    Examples:
      | bytes    | route           |
      | latin-1  | /get/           |
      | UTF-8    | /get/           |
      | any high | /do/            |
      | latin-1  | /stream/resume/ |
      | UTF-8    | /stream/resume/ |
      | any high | /stream/        |
      | ASCII    | /stream/        |

  # Guards against a bound on the number of headers below that on their bytes.
  Scenario Outline: A request with <count> short headers is served
    Given a routed site whose targets send back the header value of ASCII bytes that they got
    When a request with <count> headers of 4 bytes beside it is written
    Then the caller has got status 200
    And the target has got <count> of these headers

    Examples:
      | count |
      | 129   |
      | 2000  |

  # Guards against a head without end that takes memory or holds its connection.
  Scenario Outline: A head of <what> above 65536 bytes is refused at once
    Given a routed site whose targets send back the header value of ASCII bytes that they got
    When a head of <what> is written until the connection closes
    Then the caller has got status 431 with code 2011 and "no" within 1 s
    And at most 4096 KiB of it were written
    And a log line head_refused tells it

    Examples:
      | what                              |
      | many short headers                |
      | one long value                    |
      | one long path                     |
      | headers that end after 70000 bytes |

  # Guards against bodies that are counted as heads.
  Scenario: Bodies far above the bound of a head are served on one kept connection
    Given a routed site whose targets send back the header value of ASCII bytes that they got
    When 6 requests with bodies of 300000 bytes are written at once on one connection
    Then each of them gets status 200

  # Guards against a parser that takes the next request for a part of a body in chunks.
  Scenario: Requests with bodies in chunks are served on one connection, written at once
    Given a routed site whose targets send back the header value of ASCII bytes that they got
    When 6 requests with bodies in chunks are written at once on one connection
    Then each of them gets status 200

  # Guards against requests whose rest is awaited for as long as their callers stay.
  Scenario Outline: A <part> that stops short is refused as not run
    Given a routed site whose targets send back the header value of ASCII bytes that they got
    When a <part> that stops short is written
    Then the caller has got status 408 with code 2013 and "no" within 6 s

    Examples:
      | part |
      | head |
      | body |

  # Guards against a limit of the configuration that nothing enforces.
  Scenario: Headers have the limit of the configuration in force
    Given a routed site whose targets send back the header value of ASCII bytes that they got
    When a configuration allows headers of 4096 bytes
    Then in the end a request with headers of 4097 bytes gets 431
    And in the end a request with headers of 4096 bytes gets 200
    When a configuration allows headers of 8192 bytes
    Then in the end a request with headers of 8192 bytes gets 200
    And in the end a request with headers of 8193 bytes gets 431
