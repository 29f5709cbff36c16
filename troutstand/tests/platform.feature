Feature: Platform details stay in the platform folder, which does not shadow the standard library

  Scenario: The standard library's platform module can be imported
    Then the program that the deploy file names imports the standard library's platform
    And so does a program that runs from the root

  Scenario: No other module uses a name of the platform
    Then no source outside platform/ and deploy/ holds a name that the translation knows

  Scenario: The leaving header of a worker is read
    When a worker's answer says in the platform's words that it leaves and takes 1.7 a second
    Then it is read as a target that leaves and names a limit of 1.7 a second

  Scenario: A configuration is converted completely
    Given the platform's example configuration
    Then its routes, services, workspaces and limits are the product's

  Scenario Outline: An invalid configuration is refused
    Given the platform's example configuration
    When it gets <fault>
    Then decoding it fails with 6009

    Examples:
      | fault              |
      | cut short          |
      | an unknown service |
      | the same place     |
      | no weight          |
      | no time            |
      | a shared key       |

  Scenario: A page of the target list is converted completely
    Then a page of the platform's list becomes targets and a token

  Scenario: Rollout orders are converted completely, and invalid ones are refused
    Then the platform's order for a rollout becomes the product's
    And a switch is told to the platform as in progress
    And wrong orders are refused with 2003

  Scenario: The settings template renders to valid settings
    Then the filled template is valid for each role
