Feature: A whole tier on loopback
  The real programs, with stand-ins for the platform's list and the model endpoints.

  Scenario: A tier outlives its primaries
    Given a tier whose programs were all started together
    When the operator puts configuration 5 on top of 0
    Then every edge becomes ready
    And a stream comes whole from each edge
    And a batch job handed in twice is run once
    When the control primary is killed
    Then the configuration read back is 5
    And configuration 7 on top of 5 is taken
    And the same change sent again is acknowledged again
    And a change on top of 5 is refused
    When the storage primary is killed
    Then the results of the batch job are those read before
    And another batch job is run

  Scenario: Everything is killed at once
    Given a tier whose programs were all started together
    When the operator puts configuration 5 on top of 0
    Then every edge becomes ready
    And a batch job handed in twice is run once
    When every program is killed and started again
    Then the configuration read back is 5
    And every edge becomes ready
    And the results of the batch job are those read before

  Scenario: A stream that breaks off goes on inside the same answer
    Given a tier whose programs were all started together
    When the operator puts configuration 5 on top of 0
    Then every edge becomes ready
    And a stream that its endpoint breaks off in an event comes whole

  Scenario: A sidecar is stopped while it answers
    Given a tier whose programs were all started together
    When the operator puts configuration 5 on top of 0
    Then every edge becomes ready
    And a sidecar that is told to stop ends the stream that it carries

  Scenario: A spending cap runs out in the middle of the evening
    Given a tier whose programs were all started together
    When the operator puts a configuration in which one tenant has a cap
    Then every edge becomes ready
    And the tenant is served until its cap has run out, and no further
    And every edge refuses the tenant at once, quick checks and batches alike
    And another tenant is served at every edge, quick checks and batches alike
    And what the tenant had under way came back exactly once
    And the cap holds after the control primary was killed
    And a raised cap lets the tenant spend again
