Feature: Accepted configuration never reverts and is in force everywhere

  Scenario: The leader is killed and a lost answer is asked for again
    Given a fleet of 3 control hosts and 3 entries
    When change first is proposed
    And the leader is killed
    And change first is proposed again
    Then both responses name the same revision
    When change second is proposed
    Then every entry applies the newest revision within 3 s

  Scenario: Two operators race with the same number
    Given a fleet of 3 control hosts and 1 entries
    When 8 operators propose against the same revision at the same time
    Then exactly one is accepted and the others get a conflict

  Scenario: An old leader is frozen and thawed
    Given a fleet of 3 control hosts and 3 entries
    When change first is proposed
    And the leader is frozen
    And change second is proposed
    And the frozen host is thawed
    Then every entry applies the newest revision within 3 s
    And change third proposed to the thawed host does not revert anything

  Scenario: An entry hears nothing of the control hosts, only of its peers
    Given a proxied fleet of 3 control hosts and 3 entries
    When all traffic from the control hosts to e3 is dropped
    And change first is proposed
    Then every entry applies the newest revision within 3 s

  Scenario: An entry cut off from everyone refuses, and comes back
    Given a proxied fleet of 3 control hosts and 3 entries
    And a target of service rota
    And every entry has applied the example declarations
    When e3 is partitioned from all other hosts
    Then e3 refuses with 503 isolated within 6 s
    When change later is proposed
    And all network partitions are healed
    Then every entry applies the newest revision within 6 s

  Scenario: All control hosts are gone
    Given a fleet of 3 control hosts and 3 entries
    And a target of service rota
    And every entry has applied the example declarations
    When all control hosts are killed
    And 5 s pass
    Then GET /rota/hobart for hobart is answered by the target
    When e2 is killed and started again
    Then every entry applies the newest revision within 10 s
    And an address response lists 3 entries with a time to live

  Scenario: A disk is lost, and a second host right after the repair
    Given a fleet of 3 control hosts and 1 entries
    When change first is proposed
    And a follower loses its disk and is started again
    Then it is a voter under a new name within 10 s
    When the leader is killed
    And change second is proposed
    Then every entry applies the newest revision within 3 s
    And the history lists first and second

  Scenario: A log is damaged in its middle
    Given a fleet of 3 control hosts and 1 entries
    When 20 changes are proposed
    And a follower's log is damaged in its middle and it is started again
    Then it is a voter under a new name within 10 s
    And it knows the newest revision

  Scenario: All control hosts restart after hundreds of changes
    Given a fleet of 3 control hosts and 1 entries
    When 300 changes are proposed
    And all control hosts are killed
    And a partial record is appended to a follower's log
    And all control hosts are started again
    Then every control host knows the newest revision within 10 s

  Scenario: A disk that refuses to write ends the process
    Given a fleet of 3 control hosts and 1 entries
    When change first is proposed
    And a follower's files can no longer grow
    And change second is proposed
    Then that follower exits with code 3 within 5 s
    And every entry applies the newest revision within 3 s
