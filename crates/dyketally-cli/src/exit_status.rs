//! Exit codes of the command.

use std::process::ExitCode;

/// How a command ended, as its exit code tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// It did what was asked.
    Success = 0,
    /// A check failed, or what was asked for doesn't exist. Nothing was changed.
    CheckFailed = 1,
    /// The command line is wrong. Nothing was changed.
    Usage = 2,
    /// Another change was published first. Nothing was changed.
    Conflict = 3,
    /// A service or node did not answer. Nothing was changed.
    Unavailable = 4,
    /// The change may or may not be in force.
    Unknown = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
