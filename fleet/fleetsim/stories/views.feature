Feature: Who stands how, and what a mixer may do by that
  A mixer that is not sure of a majority lives by its own share, takes back what it must, and moves nothing on.

  Background:
    Given a fleet of 5 mixers
    And 4s pass

  Scenario: A whole fleet
    Then every mixer stands "majority"
    And every mixer may "raise"

  Scenario: One mixer is cut off
    When "m1" is cut off from "m2, m3, m4, m5"
    And 3s pass
    Then "m1" stands "alone"
    And "m1" may not "grant"
    And "m1" may "lower"
    And "m2, m3, m4, m5" stand "majority"
    And "m2" believes "m1" "suspect"

  Scenario: Two against three
    When "m1, m2" are cut off from "m3, m4, m5"
    And 3s pass
    Then "m1, m2" stand "minority"
    And "m3, m4, m5" stand "majority"
    When all ways are whole again
    And 5s pass
    Then every mixer stands "majority"

  Scenario: Nobody is most in a fleet cut in three
    When the fleet is cut into "m1, m2" and "m3, m4" and "m5"
    And 3s pass
    Then no mixer may "grant"
    And no mixer may "raise"

  Scenario: A way cut in one direction is no way
    When nobody hears "m1" any more
    And 3s pass
    Then "m1" stands "disagreeing"
    And "m1" may not "raise"
    And "m2, m3, m4, m5" stand "majority"

  Scenario: One that hears nobody, though all hear it
    When "m1" hears nobody any more
    And 3s pass
    Then "m1" stands "alone"
    And "m2, m3, m4, m5" stand "majority"

  Scenario: Only one way of all is cut
    When "m1" no longer hears "m2"
    And 3s pass
    Then every mixer stands "majority"

  Scenario: The fleet shrinks to a majority, and below it
    When "m1" is killed
    And "m2" is killed
    And 3s pass
    Then "m3, m4, m5" stand "majority"
    When "m3" is killed
    And 3s pass
    Then "m4, m5" stand "minority"

  Scenario: One that leaves is gone at once, and welcome back
    When "m1" leaves
    And 100ms pass
    Then "m2" believes "m1" "left"
    When "m1" is restarted
    And 3s pass
    Then "m2" believes "m1" "alive"

  Scenario: A sleeper that wakes trusts nothing it knew, though all is well
    When "m1" sleeps for 10s
    And 10100ms pass
    Then "m1" may not "grant"
    When 4s pass
    Then "m1" stands "majority"

  Scenario: A sleeper that wakes in a fleet cut meanwhile
    When "m1" sleeps for 6s
    And 1s pass
    And "m1, m2" are cut off from "m3, m4, m5"
    And 8s pass
    Then "m1, m2" stand "minority"

  Scenario: A clock that jumps is a sleep
    When the clock of "m1" jumps by 30s
    And 300ms pass
    Then "m1" may not "grant"

  Scenario: A majority must hold before it counts
    When the fleet is cut into "m1, m2" and "m3, m4" and "m5"
    And 4s pass
    And all ways are whole again
    And 600ms pass
    Then no mixer may "grant"
    And "m1" may "count"

  Scenario: Words lost, doubled and late hurt nobody's standing
    When 30 percent of the words are lost, 20 come twice and 30 are late by up to 600ms
    And 20s pass
    Then every mixer stands "majority"

  Scenario: All but one restart at once
    When "m2" is restarted
    And "m3" is restarted
    And "m4" is restarted
    And "m5" is restarted
    And 200ms pass
    Then no mixer may "raise"
    When 4s pass
    Then every mixer stands "majority"
