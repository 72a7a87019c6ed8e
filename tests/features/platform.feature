Feature: The fleet behind the platform's adapter

  Background:
    Given a platform fleet of 3 controls and 2 entries
    And instances i1, i2 of service rota
    And configuration 7 with routes to read and to write

  Scenario: The whole path
    Then every entry is ready within 5 s
    And the directory names both entries
    And a request to /read/x is answered by an instance, unchanged
    And a request to /nowhere/ is answered 404
    And the configuration read from any control host is the one that was sent

  Scenario: Configurations
    When configuration 9 moves /read/ to service desk with i3
    Then requests to /read/x at any entry reach i3 within 3 s
    When configuration 8 is sent to another control host
    Then it is acknowledged and changes nothing
    When a configuration that names no known service is sent
    Then it is refused with 400 and changes nothing

  Scenario: A word that can't be read harms nobody
    When instances say things that can't be read
    Then a request to /read/x is answered by an instance, unchanged

  Scenario: An instance that leaves gets nothing more
    When i1 says that it leaves and is acknowledged
    Then no request reaches i1 later than 2.5 s after that

  Scenario: An instance whose address was taken over gets its own requests only
    When another instance answers at the address of i1
    Then 10 requests to /write/x are all answered by i2

  Scenario: An instance that breaks connections
    When i1 breaks every connection
    Then 10 requests to /read/x at every entry are all answered
    And of 10 requests to /write/x none runs twice
    And all entries leave i1 alone at once

  Scenario: Bodies and answers of odd shape
    Then a chunked upload of 1000000 bytes reaches an instance whole
    When the instances answer without a length
    Then 4 requests to /read/x are all answered
    When the instances send bytes after their answers
    Then 6 requests to /read/x at every entry are all answered
    When the instances answer before they have read the body
    Then an upload of 600000 bytes gets the instance's own 413

  Scenario: A caller that leaves
    When a request takes 3 s and its caller leaves after 0.3 s
    Then the instance is told within 0.5 s

  Scenario: A full service is refused as not run
    When the instances say that they are full
    Then a request to /write/x is answered 503 with a time to come back

  Scenario: A planned stop of an entry
    When a request takes 2 s and e1 is stopped meanwhile
    Then that request is answered whole
    And e1 leaves the directory and ends within 6 s

  Scenario: The leader is killed
    When the leading control host is killed
    Then configuration 11 is acknowledged within 10 s
    And requests to /read/x were answered all the while

  Scenario Outline: The logs explain a failed request
    When the instances <trouble>
    And request <id> to /write/x is sent to e1
    Then it is answered <status>
    And the logs explain <id> by <cause> and <end>

    Examples:
      | trouble                | id     | status | cause     | end           |
      | break every connection | lost-1 | 502    | failed    | target-failed |
      | say that they are full | full-1 | 503    | shed      | target-failed |
      | take 6 s               | slow-1 | 504    | timed-out | deadline      |
