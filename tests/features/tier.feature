Feature: A complete tier on loopback
  The real programs, with fakes of the platform's discovery list and of the model endpoints.

  Scenario: A tier survives the loss of its primaries
    Given a tier whose programs are all started at the same time
    When the operator puts configuration 5 based on 0
    Then every edge becomes ready
    And each edge returns a complete stream
    And a batch job submitted twice is run once
    When the control primary is killed
    Then the active configuration is 5
    And configuration 7 based on 5 is accepted
    And the same change is acknowledged again when repeated
    And a change based on 5 is rejected
    When the storage primary is killed
    Then the results of the batch job are unchanged
    And another batch job is run

  Scenario: All programs are killed and restarted
    Given a tier whose programs are all started at the same time
    When the operator puts configuration 5 based on 0
    Then every edge becomes ready
    And a batch job submitted twice is run once
    When every program is killed and restarted
    Then the active configuration is 5
    And every edge becomes ready
    And the results of the batch job are unchanged

  Scenario: An interrupted stream is resumed within the same response
    Given a tier whose programs are all started at the same time
    When the operator puts configuration 5 based on 0
    Then every edge becomes ready
    And a stream that its endpoint interrupts within an event is returned complete

  Scenario: A sidecar is terminated during a response
    Given a tier whose programs are all started at the same time
    When the operator puts configuration 5 based on 0
    Then every edge becomes ready
    And a sidecar that receives SIGTERM completes the stream in progress before it exits

  Scenario: A tenant uses up its spending cap while its work is in progress
    Given a tier whose programs are all started at the same time
    When the operator puts a configuration that gives one tenant a spending cap
    Then every edge becomes ready
    And the tenant is served until its cap is used up, and then rejected
    And every edge immediately rejects streaming requests and batch jobs of the tenant
    And every edge serves streaming requests and batch jobs of another tenant
    And each accepted request and batch item of the tenant is completed exactly once
    And the cap is still enforced after the control primary was killed
    And the tenant is served again after its cap is raised
