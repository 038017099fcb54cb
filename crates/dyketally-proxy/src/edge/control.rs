//! Statements that the edge knows without a rule: transaction control, and its own parameter.

use dyketally::session::{MalformedToken, SessionToken};

use super::answer::SESSION_PARAMETER;

/// What a statement is to the edge when no rule classifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Control {
    /// Begins or ends a transaction or savepoint.
    Transaction,
    /// Changes a setting of the connection.
    Setting,
    /// Anything else.
    None,
}

const TRANSACTION_WORDS: &[&str] = &[
    "begin",
    "start",
    "commit",
    "end",
    "rollback",
    "abort",
    "savepoint",
    "release",
];
const SETTING_WORDS: &[&str] = &["set", "reset", "discard"];

/// Recognises a statement by its first word.
pub fn recognise(query: &str) -> Control {
    let word = query
        .trim_start()
        .split(|letter: char| !letter.is_ascii_alphabetic())
        .next()
        .unwrap_or_default();
    let is_word = |known: &&str| known.eq_ignore_ascii_case(word);
    if TRANSACTION_WORDS.iter().any(is_word) {
        Control::Transaction
    } else if SETTING_WORDS.iter().any(is_word) {
        Control::Setting
    } else {
        Control::None
    }
}

/// A statement about the edge's own parameter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionStatement {
    /// `SET dyketally.session = '<token>'`; an empty token forgets what was seen.
    Set(Option<SessionToken>),
    /// `SHOW dyketally.session`.
    Show,
}

/// Recognises a statement about the session token; `None` for all other statements.
pub fn session_statement(query: &str) -> Option<Result<SessionStatement, MalformedToken>> {
    let query = query.trim().trim_end_matches(';').trim_end();
    let mut words = query.splitn(2, char::is_whitespace);
    let (command, rest) = (words.next()?, words.next()?.trim_start());
    let rest = strip_parameter(rest)?.trim();
    if command.eq_ignore_ascii_case("show") && rest.is_empty() {
        return Some(Ok(SessionStatement::Show));
    }
    if !command.eq_ignore_ascii_case("set") {
        return None;
    }
    Some(parse_token(assigned_value(rest)?).map(SessionStatement::Set))
}

/// Reads a token; empty text means none.
pub fn parse_token(text: &str) -> Result<Option<SessionToken>, MalformedToken> {
    if text.is_empty() {
        return Ok(None);
    }
    text.parse().map(Some)
}

fn strip_parameter(rest: &str) -> Option<&str> {
    let length = SESSION_PARAMETER.len();
    let name = rest.get(..length)?;
    name.eq_ignore_ascii_case(SESSION_PARAMETER)
        .then(|| &rest[length..])
}

fn assigned_value(rest: &str) -> Option<&str> {
    let value = match rest.strip_prefix('=') {
        Some(value) => value,
        None => rest
            .get(..2)
            .filter(|word| word.eq_ignore_ascii_case("to"))
            .map(|_| &rest[2..])?,
    };
    Some(value.trim().trim_matches('\''))
}
