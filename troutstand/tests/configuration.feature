Feature: Configurations are validated and queried

  Scenario Outline: An inconsistent configuration is refused
    Given a configuration with <fault>
    Then checking it fails with 6009 and names <named>

    Examples:
      | fault                        | named     |
      | a route to an unknown service| ghost     |
      | two routes at one place      | 2 routes  |
      | weights that sum to 0        | sum to 0  |
      | a key of two workspaces      | share     |

  Scenario Outline: The route with the longest matching prefix of the host wins
    Given a configuration with nested routes
    Then the path <path> at <host> goes to route <route>

    Examples:
      | path          | host             | route |
      | /a/x          | one.example      | outer |
      | /a/b/x?q=/c/  | one.example      | inner |
      | /a/bx         | ONE.example:8080 | outer |
      | /b/x          | one.example      | none  |
      | /a/x          | two.example      | none  |

  Scenario: A traffic split follows its weights and is stable for each request
    Given a configuration with a split of 90 and 10
    Then of 4000 requests between 3450 and 3750 go to the first service
    And each request goes the same way again
