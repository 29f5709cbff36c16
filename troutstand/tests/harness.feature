Feature: Test processes side by side do not disturb each other

  # In one whole run a site never formed its first set of keepers within 30 s, and 64 times alone
  # it did. Feature files run side by side, and each took its ports from a place given by its
  # process id, 137 ports from that of the next one; a file that starts ten sites takes 400.
  # Both looked whether a port was free before either had anything listening there.

  Scenario: Processes that pick ports at the same time do not pick the same ones
    When 6 test processes pick 500 ports each at the same time
    Then no port was picked twice

  Scenario: Processes that ask for a loopback network at the same time get networks of their own
    When 30 test processes ask for a network at the same time
    Then no network was given twice
