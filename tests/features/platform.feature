Feature: The fleet behind the platform's adapter

  Background:
    Given a platform fleet of 3 control hosts and 2 entries
    And instances i1, i2 of service rota
    And configuration 7 with a read route and a write route

  Scenario: The whole path
    Then every entry is ready within 5 s
    And the directory lists both entries
    And a request to /read/x and its response arrive unchanged
    And a request to /nowhere/ is answered with status 404
    And the configuration read from any control host is the one that was sent

  Scenario: Configurations
    When configuration 9 moves /read/ to service desk with i3
    Then requests to /read/x at any entry reach i3 within 3 s
    When configuration 8 is sent to another control host
    Then it is acknowledged and changes nothing
    When a configuration with an unknown service is sent
    Then it is refused with 400 and changes nothing

  Scenario: A word that can't be read harms nobody
    When instances send invalid registrations
    Then a request to /read/x and its response arrive unchanged
    And every entry uses a new instance of its region within 5 s

  Scenario: An instance that leaves gets nothing more
    When i1 announces that it is leaving and is acknowledged
    Then no request reaches i1 later than 2.5 s after that

  Scenario: An instance that says in its responses that it is leaving
    When i1 states in its responses that it is leaving
    Then no request reaches i1 later than 2.5 s after that
    When a late registration of i1 as ready arrives at every control host
    Then no request reaches i1 later than 0.5 s after that

  Scenario: An instance that has left stays away after a restart of all hosts
    When i1 announces that it is leaving and is acknowledged
    And all hosts are killed and start again
    And a late registration of i1 as ready arrives at every control host
    Then no request reaches i1 later than 1.0 s after that

  Scenario: An instance that asks for time gets none
    When i1 refuses requests with a Retry-After of 4.5 s
    Then at most 2 requests of an entry reach i1 from 0.5 s to 4.5 s after that

  Scenario: A service whose instances all ask for time
    When the instances refuse requests with a Retry-After of 3.5 s
    Then a request to /write/x is refused at once until the 3.5 s are over

  Scenario: An instance whose address was taken over gets its own requests only
    When another instance answers at the address of i1
    Then 10 requests to /write/x are all answered by i2

  Scenario: An instance that breaks connections
    When i1 resets every connection
    Then 10 requests to /read/x at every entry are all answered
    And of 10 requests to /write/x none runs twice
    And all entries stop using i1 immediately

  Scenario Outline: An instance that sends bytes without end
    When i1 sends bytes without end in <place>
    Then 50 requests to /read/x at every entry are all answered
    And the memory of every entry stays below 200 MB

    Examples:
      | place         |
      | endless-head  |
      | endless-after |

  Scenario: A request that crashes the instances which run it
    When the instances crash on /read/poison
    And /read/poison is sent 12 times to every entry
    Then at most 6 requests to /read/poison reached instances
    And every entry refuses /read/poison with status 429
    When the instances no longer crash on /read/poison
    Then every entry serves /read/poison within 20 s

  Scenario: A request that crashed instances is known after a restart of all hosts
    When the instances crash on /read/poison
    And /read/poison is sent 12 times to every entry
    And all hosts are killed and start again
    Then every entry refuses /read/poison with status 429
    And at most 6 requests to /read/poison reached instances

  Scenario: Bodies and answers of odd shape
    Then a chunked upload of 1000000 bytes reaches an instance in full
    When the instances respond without a Content-Length
    Then 4 requests to /read/x are all answered
    When the instances send extra bytes after their responses
    Then 6 requests to /read/x at every entry are all answered
    When the instances respond before they have read the body
    Then an upload of 600000 bytes gets the instance's own 413

  Scenario: Answers that end early or are none
    When the instances reset long uploads that they have begun to answer
    Then no answer of an instance to 4 uploads reaches its caller
    When the instances answer with the status 000
    Then no answer of an instance to 2 uploads reaches its caller
    When the instances answer with the status 600
    Then no answer of an instance to 2 uploads reaches its caller

  Scenario: A caller that leaves
    When a request takes 3 s and its caller leaves after 0.3 s
    Then the connection to the instance is closed within 0.5 s

  Scenario: A caller that leaves with three requests on its connection
    When requests take 3 s and a caller with 3 of them leaves after 0.5 s
    Then the instances work on none of them 0.5 s later
    And at most 1 of them reached an instance

  Scenario: Requests behind others on a connection
    When a caller sends 6 requests of 0.2 s or 0.02 s at once
    Then they are answered in order, each with its own response
    When a caller sends 6 requests of 0.5 s at once and e1 is stopped
    Then those that reached an instance are answered in order
    And the others were not read

  Scenario: A full service is refused as not run
    When the instances refuse requests as overloaded
    Then a request to /write/x is answered with status 503 and a Retry-After

  Scenario: A planned stop of an entry
    When a request takes 2 s and e1 is stopped during it
    Then that request is answered in full
    And e1 leaves the directory and exits within 6 s

  Scenario Outline: Callers go on until a stopping entry exits
    When callers send <kind> to e1 until it exits, stopped after 3 s
    Then each request that reached an instance was answered in full
    And each other one was refused as not run or not read
    And requests were served until <served> s after the signal

    Examples:
      | kind                                       | served |
      | requests that take 0.1 s                   | 2.0    |
      | requests that take 2.8 s                   | 0.5    |
      | requests that take 0.1 s, then some 3.9 s  | 1.0    |
      | uploads that take 2.5 s                    | 0.5    |

  Scenario: An entry stops while responses are slow on their way
    When responses take 0.3 s from the instances to the entries
    And callers wait 8 s for a response
    And callers send requests that take 0.1 s, then some 3.9 s to e1 until it exits, stopped after 3 s
    Then each request that reached an instance was answered in full
    And each other one was refused as not run or not read
    And requests were served until 1.0 s after the signal

  Scenario: The leader is killed
    When the leading control host is killed
    Then configuration 11 is acknowledged within 10 s
    And requests to /read/x were answered throughout

  Scenario: All control hosts are removed for good, one after the other
    When c1, c2 and c3 are replaced by c4, c5 and c6 one after the other
    Then the configuration read from any control host is the one that was sent
    And configuration 11 is acknowledged within 10 s
    And requests to /read/x were answered throughout
    When i1 announces that it is leaving and is acknowledged
    Then no request reaches i1 later than 2.5 s after that

  Scenario Outline: The configuration is read back after control hosts were replaced one after the other
    Given c4 and c5 are control hosts as well
    When all control hosts are replaced one after the other, the <first> first, by <signal>, and a version is sent after each removal
    Then an operator reads back a version as new as the newest acknowledged one

    Examples:
      | first  | signal  |
      | oldest | SIGKILL |
      | oldest | SIGTERM |
      | leader | SIGKILL |
      | leader | SIGTERM |

  Scenario Outline: The logs explain a failed request
    When the instances <fault>
    And request <id> to /write/x is sent to e1
    Then it is answered with status <status>
    And the logs show cause <cause> and reason <reason> for <id>

    Examples:
      | fault                                       | id     | status | cause     | reason        |
      | reset every connection                      | lost-1 | 502    | failed    | target-failed |
      | refuse requests as overloaded               | full-1 | 503    | shed      | target-failed |
      | take 6 s and give up 1 s after the deadline | slow-1 | 504    | timed-out | deadline      |

  Scenario: The logs explain a request that its instance gives up
    When the instances take 6 s and give up 1 s before the deadline
    And request late-1 to /write/x is sent to e1
    Then it is answered with status 504
    And the logs show the instance's own status 504 for late-1
