Feature: Operators drive the fleet with one command

  Scenario: From a first apply to a refused and a conflicting change
    Given a fleet of 1 control hosts and 2 entries
    And a target of service rota
    And every entry has applied the example declarations
    When the operator runs apply on the folder
    Then it ends with code 0 and says nothing to change
    When an organisation gets a parameter out of its bounds
    And the operator runs apply on the folder
    Then it ends with code 2 and says organisation/hobart: parameters.deadline_ms
    And every entry applies revision 1 within 3 s
    When the parameter is mended to 3000
    And the operator runs diff on the folder
    Then it ends with code 0 and says "deadline_ms": 3000
    When the operator runs apply with --expected 0 on the folder
    Then it ends with code 3 and says the newest is 1
    When the operator runs apply on the folder
    Then it ends with code 0 and says revision 2 accepted
    When the operator runs history
    Then it ends with code 0 and says organisation/hobart
    When the operator runs status
    Then it ends with code 0 and says leader of term
    When the operator runs targets
    Then it ends with code 0 and says rota
    When the operator runs wait 99 --timeout 0.2
    Then it ends with code 4 and says not in force
    And the metrics of e1 have percentiles for hobart and short work
