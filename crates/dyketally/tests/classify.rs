//! Which of a tenant's rules a statement matches.

use std::time::Duration;

use dyketally::policy::{
    Access, Repeat, StatementMatcher, StatementPolicy, StatementRule, Urgency,
};
use dyketally::template::{StatementText, classify};
use rstest::rstest;

/// Five rules, distinguished by their deadlines of 1 s to 5 s.
fn rules() -> Vec<StatementRule> {
    let matchers = [
        StatementMatcher::Prefix("INSERT INTO orders".to_owned()),
        StatementMatcher::Comment("report".to_owned()),
        StatementMatcher::PreparedName("lookup".to_owned()),
        StatementMatcher::Prefix("SELECT value FROM stock WHERE key =".to_owned()),
        StatementMatcher::Prefix("SELECT count(*)".to_owned()),
    ];
    let rule = |(seconds, matcher)| StatementRule {
        matcher,
        policy: StatementPolicy {
            access: Access::Read,
            urgency: Urgency::Normal,
            repeat: Repeat::Never,
            deadline: Duration::from_secs(seconds),
        },
    };
    (1..).zip(matchers).map(rule).collect()
}

#[rstest]
#[case::exact("INSERT INTO orders VALUES (1)", None, Some(1))]
#[case::letter_case("insert Into ORDERS values (1)", None, Some(1))]
#[case::white_space("\n\t INSERT\n  INTO\torders (key)", None, Some(1))]
#[case::whole_text("INSERT INTO orders", None, Some(1))]
#[case::bracket_after("INSERT INTO orders(key)", None, Some(1))]
#[case::semicolon_after("INSERT INTO orders;", None, Some(1))]
#[case::longer_name("INSERT INTO orders_archive VALUES (1)", None, None)]
#[case::letter_after("INSERT INTO ordersé VALUES (1)", None, None)]
#[case::schema("INSERT INTO orders.orders VALUES (1)", None, None)]
#[case::words_run_together("INSERTINTO orders", None, None)]
#[case::too_short("INSERT INTO order", None, None)]
#[case::empty("", None, None)]
#[case::multibyte_at_the_cut("INSERT INTO orderé", None, None)]
#[case::prefix_ends_in_a_sign("SELECT value FROM stock WHERE key =$1", None, Some(4))]
#[case::prefix_ends_in_a_bracket("SELECT count(*)FROM stock", None, Some(5))]
#[case::comment("/* dyketally:report */ SELECT 1", None, Some(2))]
#[case::comment_without_spaces("/*dyketally:report*/SELECT 1", None, Some(2))]
#[case::other_comment("/* dyketally:reports */ SELECT 1", None, None)]
#[case::comment_without_marker("/* report */ SELECT 1", None, None)]
#[case::comment_not_first("SELECT 1 /* dyketally:report */", None, None)]
#[case::comment_without_end("/* dyketally:report", None, None)]
#[case::prepared_name("SELECT 1", Some("lookup"), Some(3))]
#[case::prepared_name_with_letter_case("SELECT 1", Some("LOOKUP"), None)]
#[case::unnamed("SELECT 1", Some(""), None)]
#[case::earlier_rule_first("INSERT INTO orders VALUES ($1)", Some("lookup"), Some(1))]
fn finds_the_first_rule_that_matches(
    #[case] query: &str,
    #[case] prepared_name: Option<&str>,
    #[case] rule: Option<u64>,
) {
    let rules = rules();
    let statement = StatementText {
        query,
        prepared_name,
    };
    let found = classify(&rules, statement).map(|policy| policy.deadline.as_secs());
    assert_eq!(found, rule);
}
