Feature: A request goes through the whole fleet

  Scenario: A caller gets the target's whole answer
    Given a fleet of 3 control hosts and 3 entries
    And a target of service rota
    When the example declarations are applied
    Then every entry applies revision 1 within 3 s
    And an address response lists 3 entries with a time to live
    And GET /rota/hobart for hobart is answered by the target
    And the target receives the query and the escaped path unchanged

  Scenario: Refusals say that the request did not run
    Given a fleet of 1 control hosts and 1 entries
    Then GET /rota/hobart for hobart is refused with 503 no-configuration
    When the example declarations are applied
    Then GET /rota/hobart for nobody is refused with 404 unknown-organisation
    And GET /nowhere for hobart is refused with 404 unknown-route
    And GET /rota/hobart for hobart is refused with 503 no-target
