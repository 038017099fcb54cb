//! Finds the rule that applies to a statement. SQL is not parsed.

use crate::policy::{StatementMatcher, StatementPolicy, StatementRule};

/// The parts of a caller's statement that rules can match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatementText<'a> {
    /// The text of the statement or query.
    pub query: &'a str,
    /// The name under which the statement was prepared: empty for the unnamed prepared statement,
    /// `None` for a simple query.
    pub prepared_name: Option<&'a str>,
}

/// The policy of the first rule that matches `statement`; `None` if no rule does.
///
/// Rules match only the first statement of a text. Callers must treat a simple query that may contain
/// several statements as a write that is never repeated, whatever the matching rule says.
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

/// True when `text` begins with `prefix`. Letter case is ignored, runs of white space of any length are
/// equal, and the prefix must not end within a name of the text.
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
        // This is a character boundary, because the bytes before it equal a whole word.
        rest = &rest[rest.len() - tail.len()..];
    }
    ends_between_names(prefix, rest)
}

/// False when the end of `prefix` and the start of `rest` belong to the same name.
fn ends_between_names(prefix: &str, rest: &str) -> bool {
    let last = prefix.trim_ascii_end().as_bytes().last();
    let next = rest.as_bytes().first();
    match (last, next) {
        (Some(last), Some(next)) => !(is_name_byte(*last) && is_name_byte(*next)),
        _ => true,
    }
}

/// True for the bytes of names, which may be qualified: the prefix `orders` matches neither
/// `orders_archive` nor `orders.x`.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"_$.\"".contains(&byte) || !byte.is_ascii()
}

/// The label of a comment `/* dyketally:<label> */` at the start of `query`.
fn comment_label(query: &str) -> Option<&str> {
    let comment = query.strip_prefix("/*")?;
    let (comment, _) = comment.split_once("*/")?;
    let label = comment.trim_ascii().strip_prefix("dyketally:")?;
    Some(label.trim_ascii())
}
