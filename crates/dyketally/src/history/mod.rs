//! Histories of runs and the checker that judges them.
//!
//! A history is a list of events as callers, databases and nodes saw them, one JSON object a
//! line. It knows nothing of the run that it came from: the fuzzer's model and runs of real
//! processes feed the very same [`check`].

mod check;
mod event;
mod violation;

pub use check::{CheckSettings, check};
pub use event::{
    Digest, Entry, Event, Key, LookupAnswer, LookupBegan, LookupEnded, MalformedHistory,
    RequestNumber, SessionName, Statement, TransactionEnd, TransactionName, WriteBegan, WriteEnded,
    WriteOutcome, read_lines, write_line,
};
pub use violation::Violation;
