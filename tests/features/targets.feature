Feature: Targets that leave, fail grayly or are broken by a request

  Scenario: A leaving target gets no new work, told to one entry only
    Given a proxied fleet of 3 control hosts and 3 entries
    And 3 targets of service rota announcing to e1 only
    And every entry has applied the example declarations
    When what e1 sends to e2 is lost
    And a rota target says that it leaves
    Then no entry sends it work from 5 s on
    And every entry serves rota

  Scenario: Gray targets are ejected down to the floor and come back
    Given a fleet of 3 control hosts and 3 entries
    And 6 targets of service rota
    And every entry has applied the example declarations
    When one rota target fails 40 percent of its requests
    And callers send work to all entries
    Then it is ejected within 20 s and no other target is
    When every rota target recovers
    And callers send work to all entries
    Then it is back within 40 s

  Scenario: A failure of most targets at once ejects none
    Given a fleet of 3 control hosts and 3 entries
    And 6 targets of service rota
    And every entry has applied the example declarations
    When every rota target fails 60 percent of its requests
    And callers send work to all entries
    Then within 6 s no target is ejected

  Scenario: A request that breaks its targets is stopped and blames none
    Given a fleet of 3 control hosts and 3 entries
    And 6 targets of service rota
    And every entry has applied the example declarations
    When every rota target drops requests for /rota/hobart/poison
    And a caller sends GET /rota/hobart/poison 12 times to all entries
    Then at most 6 attempts reached targets
    And it is refused with 422 quarantined at every entry
    And within 1 s no target is ejected

  Scenario: All open connections to the targets go silent
    Given a fleet of 3 control hosts and 3 entries
    And 6 targets of service rota
    And every entry has applied the example declarations
    When callers send work to all entries
    And 3 s pass
    And the callers stop, which leaves idle connections
    And every open connection to the rota targets goes silent
    Then GET /rota/hobart is answered 10 times with at most one retry each
    And within 5 s no target is ejected

  Scenario: A target that starts cold is not ejected
    Given a fleet of 3 control hosts and 3 entries
    And 4 targets of service rota
    And every entry has applied the example declarations
    When callers send work to all entries
    And another rota target starts and is cold for 5 s
    Then within 8 s no target is ejected
