Feature: A scheduler counts what its gateways run, whatever their links drop
  Guards against slots that stay taken at the scheduler after their requests have ended.

  Scenario: A request that is placed twice at a target counts once
    Given a target that runs a prompt of 1000 tokens
    When the same request is placed there again
    Then the target has 1 request and 1000 tokens before its first byte
