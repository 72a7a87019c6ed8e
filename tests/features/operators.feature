Feature: Operators drive the fleet with one command

  Scenario: From a first apply to a refused and a conflicting change
    Given a fleet of 1 control hosts and 2 entries
    And a target of service rota
    And every entry has applied the example declarations
    When the operator runs apply on the folder
    Then the command exits with code 0 and prints: nothing to change
    When an organisation sets a parameter outside its bounds
    And the operator runs apply on the folder
    Then the command exits with code 2 and prints: organisation/hobart: parameters.deadline_ms
    And every entry applies revision 1 within 3 s
    When the parameter is corrected to 3000
    And the operator runs diff on the folder
    Then the command exits with code 0 and prints: "deadline_ms": 3000
    When the operator runs apply with --expected 0 on the folder
    Then the command exits with code 3 and prints: the newest is 1
    When the operator runs apply on the folder
    Then the command exits with code 0 and prints: revision 2 accepted
    When the operator runs history
    Then the command exits with code 0 and prints: organisation/hobart
    When the operator runs status
    Then the command exits with code 0 and prints: leader of term
    When the operator runs targets
    Then the command exits with code 0 and prints: rota
    When the operator runs wait 99 --timeout 0.2
    Then the command exits with code 4 and prints: not in force
    And the metrics of e1 have percentiles for hobart and short work
