//! Finds the rule that treats a statement. No SQL is parsed.

use crate::policy::{StatementMatcher, StatementPolicy, StatementRule};

/// What a caller sent, as far as rules look at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementText<'a> {
    /// The text.
    pub query: &'a str,
    /// The name under which it was prepared: empty for the unnamed statement, `None` for a simple
    /// query.
    pub prepared_name: Option<&'a str>,
}

/// The policy of the first rule that matches, or `None` when the statement is unclassified.
///
/// A rule speaks for the first statement of a text. Callers must treat a simple query that may
/// hold several as a write that is never repeated, whatever the rule says.
pub fn classify<'a>(
    rules: &'a [StatementRule],
    statement: StatementText<'_>,
) -> Option<&'a StatementPolicy> {
    let query = statement.query.trim_ascii_start();
    let label = comment_label(query);
    let rule = rules.iter().find(|rule| match &rule.matcher {
        StatementMatcher::Prefix(prefix) => prefix_matches(prefix, query),
        StatementMatcher::Comment(wanted) => label == Some(wanted),
        StatementMatcher::PreparedName(name) => statement.prepared_name == Some(name),
    })?;
    Some(&rule.policy)
}

/// True when `text` begins with `prefix`: letter case doesn't count, a run of white space equals
/// any other, and the prefix doesn't end within a name.
pub(super) fn prefix_matches(prefix: &str, text: &str) -> bool {
    let mut rest = text.trim_ascii_start();
    for (index, word) in prefix.split_ascii_whitespace().enumerate() {
        if index > 0 {
            let trimmed = rest.trim_ascii_start();
            if trimmed.len() == rest.len() {
                return false;
            }
            rest = trimmed;
        }
        let Some((head, tail)) = rest.as_bytes().split_at_checked(word.len()) else {
            return false;
        };
        if !head.eq_ignore_ascii_case(word.as_bytes()) {
            return false;
        }
        // The cut is at a character boundary, because the head equals a whole text.
        rest = &rest[rest.len() - tail.len()..];
    }
    ends_between_names(prefix, rest)
}

fn ends_between_names(prefix: &str, rest: &str) -> bool {
    let last = prefix.trim_ascii_end().as_bytes().last();
    let next = rest.as_bytes().first();
    match (last, next) {
        (Some(last), Some(next)) => !(is_name_byte(*last) && is_name_byte(*next)),
        _ => true,
    }
}

/// Bytes of (qualified) names: after `orders`, neither `orders_archive` nor `orders.x` matches.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"_$.\"".contains(&byte) || !byte.is_ascii()
}

/// The label of a leading `/* dyketally:<label> */`.
fn comment_label(query: &str) -> Option<&str> {
    let comment = query.strip_prefix("/*")?;
    let (comment, _) = comment.split_once("*/")?;
    let label = comment.trim_ascii().strip_prefix("dyketally:")?;
    Some(label.trim_ascii())
}
