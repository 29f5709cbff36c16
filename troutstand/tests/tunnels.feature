Feature: A connection through a peer gateway keeps what a direct one promises

  Scenario: A request through a peer is answered in full and arrives once
    Given 2 peers, and a target that answers in full
    When a request is sent through a peer
    Then its outcome is whole, and the target saw 1 requests
    And the request went through a peer

  Scenario: A response without a length is complete if the target ended it
    Given 2 peers, and a target that answers without a length and ends
    When a request is sent through a peer
    Then its outcome is whole, and the target saw 1 requests

  Scenario: A response without a length is not complete if its peer ends
    Given 1 peers of which 1 end after 0.2 s, and a target that answers without a length and stays open
    When a request is sent through a peer
    Then its outcome is broken, and the target saw 1 requests

  Scenario: A response without a length is not complete if the target resets it
    Given 1 peers, and a target that answers without a length and resets
    When a request is sent through a peer
    Then its outcome is broken, and the target saw 1 requests

  Scenario: A request that may run once counts as sent if its peer ends before the response
    Given 1 peers of which 1 end after 0.2 s, and a target that answers nothing and stays open
    When a request that may run once is sent through a peer
    Then its outcome is broken, and the target saw 1 requests

  Scenario: A peer that does not reply does not delay the others
    Given 3 peers of which 2 accept and stay silent, and a target that answers in full
    When a request is sent through a peer
    Then its outcome is whole within 0.25 s, and the target saw 1 requests

  Scenario Outline: A scheduler that knows <known> gateways does not take the known peers away
    Given 1 peers, and a target that answers in full
    When a scheduler assigns <known> other peers that do not listen
    And a request is sent through a peer
    Then its outcome is whole within 0.25 s, and the target saw 1 requests
    And the request went through a peer

    Examples:
      | known |
      | 0     |
      | 2     |

  Scenario: A target that is silent for all takes no longer than one connection may take
    Given 2 peers, and a target that lets connections time out
    When a request is sent
    Then its outcome is unsent within 0.35 s, and the target saw 0 requests

  Scenario: A target that has ended is told from a path that is cut
    Given 3 peers of which 1 do not listen, and a target that has ended
    When a request is sent
    Then its outcome is unsent, and the target counts as gone

  Scenario Outline: A refused connection does not count as an ended target if <peers>
    Given 2 peers of which 2 <peers>, and a target that has ended
    When a request is sent
    Then its outcome is unsent, and the target does not count as gone

    Examples:
      | peers                 |
      | do not listen         |
      | accept and stay silent |
      | have lost their paths |

  Scenario: A caller that leaves ends its request at the target behind a peer
    Given 1 peers, and a target that answers nothing and stays open
    When a request is sent through a peer and given up after 0.3 s
    Then the target sees its connection closed within 0.5 s

  Scenario: A peer that stops opens nothing new and keeps what is open
    Given 1 peers, and a target that answers nothing and stays open
    When a request is sent through a peer that is told to stop 0.2 s later
    Then the peer is still busy, and opens no other connection

  Scenario: A process without the site's key gets no connection
    Given 1 peers, and a target that answers in full
    When a connection through a peer is asked for with another key
    Then no connection is opened

  Scenario: A peer without the site's key is not trusted
    Given 1 peers with another key, and a target that answers in full
    When a connection through a peer is asked for
    Then no connection is opened

  # Guards against a peer that ends in the middle of a response whose target is silent for a while.
  Scenario Outline: A peer that stops is <state> 0.5 s after a target <what>
    Given 1 peers, and a target <what>
    When a request is sent through a peer that is told to stop 0.5 s later
    Then the stopping peer is <state>

    Examples:
      | what                                              | state |
      | that answers nothing and stays open               | busy  |
      | that answers without a length and stays open      | busy  |
      | that writes half of an answer and stays open      | busy  |
      | that writes a chunk of a stream and stays open    | busy  |
      | that writes 100 and stays open                    | busy  |
      | that answers in full and stays open               | idle  |
      | that answers in chunks and stays open             | idle  |

  # Guards against a peer that reports a path as working which lets connections open and resets them.
  Scenario: A peer that had connections reset lately watches the next one before it reports it
    Given 1 peers of which 1 had connections reset a moment after they opened, and a target that resets connections a moment after they open
    When a connection through a peer is asked for
    Then it is refused, since the peer reports that the target is unreached

  Scenario: A peer that had connections reset lately opens one that stays open
    Given 1 peers of which 1 had connections reset a moment after they opened, and a target that answers in full
    When a request is sent through a peer
    Then its outcome is whole, and the target saw 1 requests
