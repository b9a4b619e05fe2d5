Feature: What mixers tell each other merges in any order
  Nothing that was counted is counted twice or lost, whoever dies, sleeps or starts anew.

  Background:
    Given a fleet of 5 mixers
    And 4s pass

  Scenario: Counts add up
    When "m1" counts 5 under "seen"
    And "m4" counts 7 under "seen"
    And 2s pass
    Then every mixer sums "seen" up to 12

  Scenario: Two sides count on, and come together
    When "m1, m2" are cut off from "m3, m4, m5"
    And "m1" counts 5 under "seen"
    And "m3" counts 2 under "seen"
    And 4s pass
    Then "m3" sums "seen" up to 2
    When all ways are whole again
    And 4s pass
    Then every mixer sums "seen" up to 7

  Scenario: What a dead one counted stays
    When "m1" counts 5 under "seen"
    And 2s pass
    And "m1" is killed
    And 5s pass
    Then "m2, m3, m4, m5" sum "seen" up to 5

  Scenario: A restart neither takes away nor brings back
    When "m1" counts 5 under "seen"
    And 2s pass
    And "m1" is restarted
    And "m1" counts 1 under "seen"
    And 5s pass
    Then every mixer sums "seen" up to 6

  Scenario: Words doubled and out of order add nothing
    When 0 percent of the words are lost, 60 come twice and 60 are late by up to 1200ms
    And "m1" counts 3 under "seen"
    And "m2" counts 4 under "seen"
    And 10s pass
    Then every mixer sums "seen" up to 7

  Scenario: One that nobody hears is not believed to be counted, nor forgotten
    When nobody hears "m1" any more
    And "m1" counts 9 under "seen"
    And 4s pass
    Then "m2" sums "seen" up to 0
    When all ways are whole again
    And 4s pass
    Then every mixer sums "seen" up to 9

  Scenario: A newcomer learns what the dead had counted
    When "m1" counts 5 under "seen"
    And 2s pass
    And "m1" is killed
    And "m5" is restarted
    And 5s pass
    Then "m5" sums "seen" up to 5

  Scenario: Half of the words are lost
    When 50 percent of the words are lost, 0 come twice and 0 are late by up to 0s
    And "m1" counts 3 under "seen"
    And 15s pass
    Then every mixer sums "seen" up to 3
