//! Histories of runs, and the checker that finds violations of the system's guarantees in them.
//!
//! A history is a list of events as callers, databases and nodes saw them, with one JSON object per
//! line. Its form doesn't depend on the kind of run: the fuzzer's model and runs of real processes
//! use the same [`check`].

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
