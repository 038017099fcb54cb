//! `dyketally`: the operators' command line.
//!
//! Operators check documents, publish them and look at nodes. [`run`] carries out one command;
//! [`ExitStatus`] says how it ended.

mod check;
pub mod command_line;
mod document_file;
mod exit_status;
mod explain;
mod failure;
mod history;
mod listing;
mod output;
mod publish;
mod run;
mod show;
mod status;
mod stored;

pub use exit_status::ExitStatus;
pub use failure::{Failure, UnansweredNode};
pub use run::run;
