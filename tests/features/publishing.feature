Feature: Publishing configuration
  A change that is reported as accepted is stored in the platform exactly
  once. If something fails, the operator learns what is known of the outcome.

  Background:
    Given a platform with the template "feed" on port 443

  Scenario: A change is accepted
    When I publish the workspace "shop" at 10.9.0.1 for "feed"
    Then the exit status is 0
    And it prints "accepted: /apricottally/workspaces/shop version 3"
    And "shop" was written 1 time

  Scenario: The same content is not written again
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    When I publish the workspace "shop" at 10.9.0.1 for "feed"
    Then the exit status is 0
    And it prints "unchanged"
    And "shop" was written 1 time

  Scenario Outline: The answer is lost after the write
    Given the platform loses the next response by <loss>
    When I publish the workspace "shop" at 10.9.0.1 for "feed"
    Then the exit status is 0
    And it prints "accepted: /apricottally/workspaces/shop version 3"
    And "shop" was written 1 time

    Examples:
      | loss  |
      | reset |
      | hang  |

  Scenario Outline: The platform is down
    Given the platform has the outage <outage>
    When I publish the workspace "shop" at 10.9.0.1 for "feed"
    Then the exit status is 6
    And it prints "nothing was written"
    And "shop" was written 0 times

    Examples:
      | outage |
      | refuse |
      | hang   |

  Scenario Outline: The platform is down during the write and comes back
    Given the platform has the outage <outage> from the next write call on
    And the outage ends after 1 second
    When I publish the workspace "shop" at 10.9.0.1 for "feed"
    Then the exit status is 0
    And it prints "accepted"
    And "shop" was written 1 time

    Examples:
      | outage |
      | refuse |
      | hang   |

  Scenario: The platform goes down right after the write
    Given the platform goes down after the next write
    When I publish the workspace "shop" at 10.9.0.1 for "feed"
    Then the exit status is 7
    And it prints "outcome"
    And it prints "--operation"

  Scenario: An unknown outcome is resolved by the operation id
    Given the platform goes down after the next write
    And I tried to publish the workspace "shop" at 10.9.0.1 for "feed"
    And the platform is up again
    When I repeat the command as the message says
    Then the exit status is 0
    And it prints "accepted: /apricottally/workspaces/shop version 3"
    And "shop" was written 1 time

  Scenario: An earlier operation is known after later ones
    Given I published the workspace "shop" at 10.9.0.1 as operation "first"
    And I published the workspace "shop" at 10.9.0.2 as operation "second"
    And I published the workspace "shop" at 10.9.0.3 as operation "third"
    When I publish the workspace "shop" at 10.9.0.1 as operation "first"
    Then the exit status is 0
    And it prints "a later write has replaced it"
    And "shop" was written 3 times

  Scenario: Another operator replaces a change whose answer was lost
    Given another operator writes "shop" 1 time after the next write
    And the platform loses the next response by hang
    When I publish the workspace "shop" at 10.9.0.1 for "feed"
    Then the exit status is 0
    And it prints "a later write has replaced it"

  Scenario: Later writes hide whether a change was accepted
    Given another operator writes "shop" 9 times after the next write
    And the platform loses the next response by hang
    When I publish the workspace "shop" at 10.9.0.1 for "feed"
    Then the exit status is 7

  Scenario: Another operator is faster than a write that did not arrive
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    And the platform has the outage hang from the next write call on
    And another operator writes "shop" 1 time before the next write call
    And the outage ends after 1 second
    When I publish the workspace "shop" at 10.9.0.2 for "feed"
    Then the exit status is 5
    And it prints "by other"
    And "shop" was written 2 times

  Scenario: Two operators publish at once
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    When two operators publish the workspace "shop" at once
    Then one is accepted and one conflicts

  Scenario: A file made from an older version
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    When I publish the workspace "shop" at 10.9.0.2 for "feed" expecting 2
    Then the exit status is 5
    And it prints "--expect 3"
    And "shop" was written 1 time

  Scenario: A workspace names a template that does not exist
    When I publish the workspace "shop" at 10.9.0.1 for "sheets"
    Then the exit status is 4
    And it prints "there is no template `sheets`"
    And "shop" was written 0 times

  Scenario: Two workspaces with one address and port
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    When I publish the workspace "rival" at 10.9.0.1 for "feed"
    Then the exit status is 4
    And it prints "10.9.0.1:443 is used by"
    And "rival" was written 0 times

  Scenario: A template in use is not deleted
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    When I run "delete template feed"
    Then the exit status is 4

  Scenario: A workspace is deleted although the answer is lost
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    And the platform loses the next response by reset
    When I run "delete workspace shop"
    Then the exit status is 0
    And it prints "deleted"
    And "shop" does not exist

  Scenario: A name that does not exist
    When I run "delete workspace shop"
    Then the exit status is 11

  Scenario: Every fault of a file is reported
    When I publish a workspace file with 4 faults
    Then the exit status is 3
    And it prints "4 fault(s)"
    And it prints "address: must be an IPv4 address"
    And it prints "templates.feed: 'much' is refused; allowed: a number"
    And it prints "templates.sheets: must be above 0, at most 1000"
    And it prints "colour: unknown key; known: address, templates"

  Scenario: A file that differs from what is stored
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    When I compare the workspace "shop" at 10.9.0.2 for "feed"
    Then the exit status is 10
    And it prints "- address = "10.9.0.1""
    And it prints "+ address = "10.9.0.2""

  Scenario: The history says what it cannot show
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    And I published the workspace "shop" at 10.9.0.2 for "feed"
    When I run "history workspace shop"
    Then the exit status is 0
    And it prints "2 write(s) since"
    And it prints "cannot be shown"

  Scenario: What is shown can be published
    Given I published the workspace "shop" at 10.9.0.1 for "feed"
    When I publish what is shown of the workspace "shop"
    Then the exit status is 0
    And it prints "unchanged"
