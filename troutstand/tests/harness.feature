Feature: Parallel test processes use separate ports and networks

  # Guards against test processes that run in parallel and pick the same free port before either
  # listens on it.

  Scenario: Processes that pick ports at the same time pick different ones
    When 6 test processes pick 500 ports each at the same time
    Then no port was picked twice

  Scenario: Processes that ask for a loopback network at the same time get different networks
    When 30 test processes ask for a network at the same time
    Then no network was given twice
