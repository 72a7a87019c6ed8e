Feature: Requests keep their promises when targets and entries fail

  Background:
    Given a fleet of 3 control hosts and 3 entries
    And 3 targets of service rota
    And 2 targets of service attendance
    And every entry has applied the example declarations

  Scenario: A non-idempotent request runs at most once
    When POST /claims/hobart with key k1 is sent to e1
    Then it is answered by a target
    When POST /claims/hobart with key k1 is sent to e2
    Then it is refused with 409 duplicate and outcome unknown
    When POST /claims/hobart without a key is sent to e1
    Then it is refused with 400 idempotency-key-required and outcome not-run
    When all control hosts are killed
    And POST /claims/hobart with key k2 is sent to e3
    Then it is answered by a target
    When POST /claims/hobart with key k2 is sent to e1
    Then it is refused with 409 duplicate and outcome unknown
    And keys k1 and k2 ran once each across all targets

  Scenario: An entry is killed between claim and answer
    When every attendance target takes 1500 ms
    And POST /claims/hobart with key k3 is sent to e1 and e1 is killed
    And POST /claims/hobart with key k3 is sent to e2
    Then it is refused with 409 duplicate and outcome unknown
    And key k3 ran once across all targets

  Scenario: A restarted claim group member does not forget
    When POST /claims/hobart with key k4 is sent to e1
    And e2 is killed and started again
    And e3 is killed and started again
    And POST /claims/hobart with key k4 is sent to e1
    Then it is not answered by a target
    And key k4 ran once across all targets

  Scenario: Not run is only said when it is true
    When every attendance target sheds every request
    And POST /claims/hobart with key s1 is sent to e1
    Then it is refused with 503 target-failed and outcome not-run
    When every attendance target recovers
    And POST /claims/hobart with key s1 is sent to e2
    Then it is answered by a target
    When every attendance target drops every connection
    And POST /claims/hobart with key s2 is sent to e1
    Then it is refused with 502 target-failed and outcome unknown
    When every attendance target recovers
    And every attendance target hangs
    And POST /claims/hobart with key s3 is sent to e1
    Then it is refused with 504 deadline and outcome unknown

  Scenario: Half an answer is never passed as a whole one
    When every rota target truncates its responses
    Then GET /rota/hobart at e1 returns no partial response in 20 tries
    When every rota target truncates its large responses
    Then GET /rota/hobart at e1 returns no partial response in 10 tries
    When every rota target omits data that callers need
    Then GET /rota/hobart at e1 returns no partial response in 10 tries
