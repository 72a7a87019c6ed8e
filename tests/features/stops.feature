Feature: Planned stops cut off nothing

  Scenario: An entry stops with a long upload in flight
    Given a fleet of 3 control hosts and 3 entries
    And 1 targets of service rota
    And 2 targets of service attendance
    And every entry has applied the example declarations
    When every attendance target takes 12000 ms
    And an upload of 3000000 bytes to e1 is in progress
    And e1 is asked to stop
    Then no address response lists e1 after 4 s
    And the upload is received in full
    And e1 exits with code 0 within 30 s

  Scenario: A rolling restart of all hosts under load loses nothing
    Given a fleet of 3 control hosts and 3 entries
    And 3 targets of service rota
    And every entry has applied the example declarations
    When callers that refresh their addresses send requests continuously
    And each host is stopped gracefully and started again in turn
    Then no caller's request was cut off or refused
    And a change was accepted after each stop within 2 s
