Feature: Budgets that add up
  All together never spend more than the fleet's figure, 50 probes a second here, whatever each believes. After each
  event the rule is checked over every span of time.

  Background:
    Given a fleet of 5 mixers
    And 9s pass

  Scenario: Everybody wants more than there is
    When every mixer wants 40 probes a second
    And 10s pass
    And a new count begins
    And 20s pass
    Then all together made 45 to 50 probes a second

  Scenario: One needs what the others do not
    When "m1" wants 40 probes a second
    And 10s pass
    And a new count begins
    And 20s pass
    Then "m1" made 25 to 41 probes a second

  Scenario: Alone, a mixer lives by its own share
    When "m1" is cut off from "m2, m3, m4, m5"
    And "m1" wants 40 probes a second
    And 10s pass
    And a new count begins
    And 10s pass
    Then "m1" made 9 to 10.5 probes a second

  Scenario: A loan ends with a cut, and both sides together keep the figure
    When "m1" wants 40 probes a second
    And 10s pass
    And "m1" is cut off from "m2, m3, m4, m5"
    And every mixer wants 40 probes a second
    And 10s pass
    And a new count begins
    And 10s pass
    Then all together made 45 to 50 probes a second
    And "m1" made 9 to 10.5 probes a second

  Scenario: What a dead one had borrowed is back in time
    When "m1" wants 40 probes a second
    And 10s pass
    And "m1" is killed
    And "m2, m3, m4, m5" want 40 probes a second
    And 10s pass
    And a new count begins
    And 10s pass
    Then all together made 36 to 50 probes a second

  Scenario: A lender dies and forgets what it lent
    When "m1" wants 40 probes a second
    And 10s pass
    And "m2" is restarted
    And every mixer wants 40 probes a second
    And 20s pass
    Then all together made 30 to 50 probes a second

  Scenario: A borrower sleeps over the end of its loans
    When "m1" wants 40 probes a second
    And 10s pass
    And "m1" sleeps for 9s
    And "m2, m3, m4, m5" want 40 probes a second
    And 20s pass
    Then "m1" may "keep"

  Scenario: A lender's clock jumps ahead
    When "m1" wants 40 probes a second
    And 10s pass
    And the clock of "m2" jumps by 60s
    And the clock of "m3" jumps by -20s
    And every mixer wants 40 probes a second
    And 10s pass
    Then all together made 20 to 50 probes a second

  Scenario: A minority lends nothing
    When "m1, m2" are cut off from "m3, m4, m5"
    And 10s pass
    And "m1" wants 40 probes a second
    And 5s pass
    And a new count begins
    And 10s pass
    Then "m1" made 9 to 10.5 probes a second

  Scenario: Words doubled and late lend nothing twice
    When 20 percent of the words are lost, 40 come twice and 40 are late by up to 1400ms
    And "m1" wants 60 probes a second
    And "m2" wants 60 probes a second
    And 40s pass
    Then all together made 20 to 50 probes a second

  Scenario: A fleet that flaps
    When every mixer wants 40 probes a second
    And the fleet is cut in two and healed every 2s for 40s
    Then all together made 40 to 50 probes a second
