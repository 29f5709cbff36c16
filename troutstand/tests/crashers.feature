Feature: A request that ends the targets that run it

  Scenario: The logs tell which calls are the same, and that their targets ended
    Given a routed site with 6 engines that one body ends
    When the deadly body is called once at each gateway
    Then the logs name one fingerprint for both calls, and their targets as gone

  Scenario: The logs tell a connection that broke from a target that ended
    Given a routed site whose engines break streams
    When 6 calls of /stream/resume/ with bodies of their own are made
    Then the logs name a fingerprint for each call, and no target as gone
