//! Reads the statement rules of a template.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::classify::prefix_matches;
use crate::document::{FaultKind, TableReader};
use crate::policy::{Access, Repeat, StatementMatcher, StatementPolicy, StatementRule, Urgency};

/// Range of a rule's deadline.
const DEADLINES: RangeInclusive<Duration> = Duration::from_millis(5)..=Duration::from_secs(300);

const MATCHER_EXPECTED: &str = "exactly one of `prefix`, `comment` and `prepared_name`";

/// Reads the rules `[[statements]]` and leaves out incomplete ones.
pub(super) fn read_rules(body: &TableReader<'_>) -> Vec<StatementRule> {
    let mut rules: Vec<(String, StatementRule)> = Vec::new();
    let readers = body.tables("statements");
    if readers.is_empty() {
        body.fault(
            "statements",
            FaultKind::Empty {
                entry: "[[statements]]",
            },
        );
    }
    for reader in readers {
        let path = reader.path().to_owned();
        let Some(rule) = read_rule(reader, &rules) else {
            continue;
        };
        rules.push((path, rule));
    }
    rules.into_iter().map(|(_, rule)| rule).collect()
}

/// Reads one rule; `None` if a required field is missing or malformed. `earlier` holds the rules before
/// it with their paths.
fn read_rule(
    reader: TableReader<'_>,
    earlier: &[(String, StatementRule)],
) -> Option<StatementRule> {
    let matcher = read_matcher(reader.table("match"));
    let access: Option<Access> = reader.required("access");
    let urgency = reader.or_default("urgency", Urgency::default());
    let repeat = reader.optional("repeat");
    reader.require::<Duration>("deadline");
    let deadline = reader.in_range("deadline", DEADLINES);
    if access == Some(Access::Read) && repeat == Some(Repeat::Recorded) {
        reader.fault("repeat", FaultKind::RecordedRead);
    }
    if let Some(matcher) = &matcher
        && let Some((path, _)) = earlier
            .iter()
            .find(|(_, rule)| shadows(&rule.matcher, matcher))
    {
        let earlier = path.clone();
        reader.fault("match", FaultKind::ShadowedRule { earlier });
    }
    reader.finish();
    let access = access?;
    let policy = StatementPolicy {
        access,
        urgency,
        repeat: repeat.unwrap_or(default_repeat(access)),
        deadline: deadline?,
    };
    Some(StatementRule {
        matcher: matcher?,
        policy,
    })
}

/// Whether a statement may be sent again if its rule doesn't set `repeat`: reads may, writes may not.
fn default_repeat(access: Access) -> Repeat {
    match access {
        Access::Read => Repeat::Repeatable,
        Access::Write => Repeat::Never,
    }
}

/// Reads the table `match`, which must have exactly one key.
fn read_matcher(reader: TableReader<'_>) -> Option<StatementMatcher> {
    let prefix = read_text(&reader, "prefix").map(StatementMatcher::Prefix);
    let comment = read_text(&reader, "comment").map(StatementMatcher::Comment);
    let name = read_text(&reader, "prepared_name").map(StatementMatcher::PreparedName);
    let keys = reader.keys();
    let mut found: Vec<StatementMatcher> = [prefix, comment, name].into_iter().flatten().collect();
    match keys.len() {
        0 => {
            let expected = MATCHER_EXPECTED.to_owned();
            reader.table_fault(FaultKind::Missing { expected });
        }
        1 => {}
        _ => {
            let found = keys.join(" with ");
            let expected = MATCHER_EXPECTED.to_owned();
            reader.table_fault(FaultKind::Malformed { found, expected });
        }
    }
    reader.finish();
    found.pop()
}

fn read_text(reader: &TableReader<'_>, key: &'static str) -> Option<String> {
    let text: String = reader.optional(key)?;
    let trimmed = text.trim_ascii();
    if trimmed.is_empty() {
        reader.fault(key, FaultKind::Empty { entry: "word" });
        return None;
    }
    Some(trimmed.to_owned())
}

/// True when `earlier` matches every statement that `later` matches, so that `later` is never used.
fn shadows(earlier: &StatementMatcher, later: &StatementMatcher) -> bool {
    use StatementMatcher::Prefix;
    match (earlier, later) {
        (Prefix(earlier), Prefix(later)) => prefix_matches(earlier, later),
        _ => earlier == later,
    }
}
