Feature: Planned stops cut off nothing

  Scenario: An entry stops with a long upload in flight
    Given a fleet of 3 control hosts and 3 entries
    And 1 targets of service rota
    And 2 targets of service attendance
    And every entry has applied the example declarations
    When every attendance target takes 12000 ms
    And an upload of 3000000 bytes to e1 is under way
    And e1 is asked to stop
    Then e1 is in no address answer after 4 s
    And the upload is answered whole
    And e1 ends with exit code 0 within 30 s

  Scenario: A rolling restart of all hosts under load loses nothing
    Given a fleet of 3 control hosts and 3 entries
    And 3 targets of service rota
    And every entry has applied the example declarations
    When callers who renew their addresses send work all the time
    And each host is stopped gracefully and started again in turn
    Then no caller's request was cut off or refused
    And changes were accepted after each stop within 2 s
