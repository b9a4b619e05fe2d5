Feature: Overload handled as one
  Six searchers do 20 parts a second each, so 60 scans of two parts. acme may ask for 30 scans a second, bolt for 20.

  Background:
    Given a fleet of 5 mixers
    And 6 searchers that do 20 parts a second each
    And the tenant "acme" with a share of 30 asks for 25 scans a second
    And the tenant "bolt" with a share of 20 asks for 15 scans a second
    And 20s pass

  Scenario: In calm nothing is shed
    When a new count begins
    And 20s pass
    Then the fleet's mood is "calm"
    And "acme" got at least 99 percent
    And "bolt" got at least 99 percent

  Scenario: A tenant at ten times its share costs the other little
    When "acme" asks for 300 scans a second
    And 10s pass
    Then the fleet's mood is "overload"
    When a new count begins
    And 30s pass
    Then "bolt" got at least 80 percent
    And all together got at least 50 scans a second

  Scenario: Whom a client meets makes no difference
    Given half of the clients meet "m1"
    When "acme" asks for 300 scans a second
    And 10s pass
    And a new count begins
    And 30s pass
    Then "bolt" got at least 75 percent
    And all together got at least 50 scans a second

  Scenario: Mixers that know the same let in the same
    When "acme" asks for 300 scans a second
    And 20s pass
    Then all mixers let in the same to 15 percent

  Scenario: A mixer cut off is on its own, and the others stay as one
    When "acme" asks for 300 scans a second
    And 10s pass
    And "m1" is cut off from "m2, m3, m4, m5"
    And 5s pass
    Then the mood of "m1" is "calm"
    And the mood of "m2" is "overload"

  Scenario: Three mixers killed and one asleep in the midst of it
    When "acme" asks for 200 scans a second
    And 5s pass
    And "m1" is killed
    And "m2" is killed
    And "m3" is killed
    And "m4" sleeps for 4s
    And 8s pass
    And "m1" is restarted
    And "m2" is restarted
    And "m3" is restarted
    And 8s pass
    And a new count begins
    And 20s pass
    Then "bolt" got at least 75 percent

  Scenario: Fresh demand is not taken for a storm
    When "acme" asks for 120 scans a second
    And 15s pass
    Then the fleet's mood is "overload"

  Scenario: All searchers are gone, and come back
    When all searchers crash
    And 4s pass
    Then the fleet's mood is "outage"
    When 15s pass
    And a new count begins
    And 20s pass
    Then the fleet's mood is "calm"
    And "bolt" got at least 95 percent
    And "acme" got at least 95 percent

  Scenario: The flood ends, and nothing is held back any more
    When "acme" asks for 300 scans a second
    And 20s pass
    And "acme" asks for 25 scans a second
    And 15s pass
    And a new count begins
    And 20s pass
    Then the fleet's mood is "calm"
    And "acme" got at least 98 percent
    And "bolt" got at least 98 percent

  Scenario: The fleet is cut in two in the midst of an overload, and heals
    When "acme" asks for 300 scans a second
    And 10s pass
    And "m1, m2" are cut off from "m3, m4, m5"
    And 10s pass
    And all ways are whole again
    And 5s pass
    And a new count begins
    And 20s pass
    Then "bolt" got at least 80 percent

  Scenario: Searchers half as quick
    When all searchers take twice as long
    And 15s pass
    And a new count begins
    And 30s pass
    Then the fleet's mood is not "calm"
    And "bolt" got at least 40 percent
    And all together got at least 18 scans a second
