Feature: SIGHUP never ends a process, even during startup and shutdown

  # A SIGHUP that arrives before the event loop runs or after it is closed must not end the process.

  Scenario Outline: A <role> that starts or stops survives SIGHUP
    Given a routed site with 2 engines and 2 plain targets
    When a <role> restarts and gets SIGHUP repeatedly until it ends
    Then it served, and exited by itself with 0

    Examples:
      | role      |
      | gateway   |
      | scheduler |
      | keeper    |

  # Before the interpreter runs the program, SIGHUP has its default action and ends the process; the soak
  # must not count this as a crash.
  Scenario: The soak sends SIGHUP to a process only after its handler is installed
    Given a routed site with 2 engines and 2 plain targets
    When a soak sends SIGHUP to a gateway as soon as it is started, 5 times
    Then it survived each time
