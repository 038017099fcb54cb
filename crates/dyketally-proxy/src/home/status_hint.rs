//! Whether the status statement is sent right behind a batch, before its reply is known.
//!
//! Behind a write that saves a round trip. Behind the first statement of a transaction it would
//! run inside of the transaction and could take its snapshot too early, so there it is left out;
//! if the transaction turns out to be over, the home asks afterwards. A wrong guess costs a round
//! trip and no more.

use dyketally::policy::Access;
use dyketally_protocol::{ExecuteRequest, StatementBatch, StatementName, Step};

const OPENING_WORDS: [&str; 2] = ["begin", "start"];
const ENDING_WORDS: [&str; 4] = ["commit", "end", "rollback", "abort"];

/// True when the batch is likely to end outside of a transaction after having written.
pub fn status_goes_behind(execute: &ExecuteRequest) -> bool {
    match execute.transaction {
        Some(_) => ends_transaction(&execute.batch),
        None => execute.access == Access::Write && !opens_transaction(&execute.batch),
    }
}

/// True when the batch is likely to begin a transaction that its caller controls.
pub fn opens_transaction(batch: &StatementBatch) -> bool {
    let text = first_statement(batch).unwrap_or_default();
    OPENING_WORDS.iter().any(|word| has_first_word(text, word))
}

fn ends_transaction(batch: &StatementBatch) -> bool {
    let text = first_statement(batch).unwrap_or_default();
    ENDING_WORDS.iter().any(|word| has_first_word(text, word))
}

/// The text of the first statement that the batch runs.
fn first_statement(batch: &StatementBatch) -> Option<&str> {
    batch.steps.iter().find_map(|step| match step {
        Step::Query(text) => Some(text.as_str()),
        Step::Bind { statement, .. } => text_of(batch, statement),
        _ => None,
    })
}

fn text_of<'a>(batch: &'a StatementBatch, name: &StatementName) -> Option<&'a str> {
    let statement = batch.prepared.iter().find(|held| &held.name == name)?;
    Some(&statement.query)
}

fn has_first_word(text: &str, word: &str) -> bool {
    let text = text.trim_start().as_bytes();
    let Some((first, rest)) = text.split_at_checked(word.len()) else {
        return false;
    };
    let ends = rest
        .first()
        .is_none_or(|next| !next.is_ascii_alphanumeric());
    ends && first.eq_ignore_ascii_case(word.as_bytes())
}
