//! Statement rules of a template.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::classify::prefix_matches;
use crate::document::{FaultKind, TableReader};
use crate::policy::{Access, Repeat, StatementMatcher, StatementPolicy, StatementRule, Urgency};

/// Deadlines that a rule may set.
const DEADLINES: RangeInclusive<Duration> = Duration::from_millis(5)..=Duration::from_secs(300);

const MATCHER_EXPECTED: &str = "exactly one of `prefix`, `comment` and `prepared_name`";

/// Reads `[[statements]]`; rules that are at fault are left out.
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

/// Reads may be sent again, writes may not, unless the rule says otherwise.
fn default_repeat(access: Access) -> Repeat {
    match access {
        Access::Read => Repeat::Repeatable,
        Access::Write => Repeat::Never,
    }
}

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

/// True when every statement that `later` matches is matched by `earlier` first.
fn shadows(earlier: &StatementMatcher, later: &StatementMatcher) -> bool {
    use StatementMatcher::Prefix;
    match (earlier, later) {
        (Prefix(earlier), Prefix(later)) => prefix_matches(earlier, later),
        _ => earlier == later,
    }
}
