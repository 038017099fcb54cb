//! Why a command failed, and what to do.

use std::net::SocketAddr;
use std::path::PathBuf;

use dyketally::configuration::{ChangeError, ChangeId};
use dyketally::document::FaultReport;
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally_proxy::stores::configuration_store::ConfigurationError;

use crate::exit_status::ExitStatus;

/// Why a command failed. Messages end with the remedy.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// Documents are at fault.
    #[error("{0}")]
    Faults(#[from] FaultReport),
    /// A change is too large.
    #[error("{0}")]
    Change(#[from] ChangeError),
    /// A file can't be read.
    #[error("{} can't be read: {cause}; check that the file exists and may be read", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// The operating system's error.
        cause: std::io::Error,
    },
    /// No log names the request.
    #[error(
        "no log names request {id:?}; pass the logs of all nodes, and mind that ordinary successes \
         are not logged and that lines may have been dropped"
    )]
    NotInLogs {
        /// The request's id.
        id: String,
    },
    /// There is no document of that name.
    #[error("there is no {kind} {name:?} at revision {}; there are: {known}", revision.0)]
    NotFound {
        /// The kind that was asked for.
        kind: DocumentKind,
        /// The name that was asked for.
        name: String,
        /// The newest revision.
        revision: Revision,
        /// The names that exist.
        known: String,
    },
    /// The command needs the key-value service, and no URL of it was given.
    #[error("no key-value service is named; pass --key-value URL or set DYKETALLY_KEY_VALUE")]
    NoService,
    /// The URL of the key-value service can't be used.
    #[error("{url:?} is no http:// URL; pass one such as http://10.0.0.1:2379 as --key-value")]
    MalformedUrl {
        /// The URL that was given.
        url: String,
    },
    /// Another change was published first.
    #[error(
        "nothing was published: you expected revision {}, but {winner}; the configuration is at \
         revision {} now. Look at the changes by `dyketally template history`, then publish again \
         with --expect-revision {}",
        seen.0, current.0, current.0
    )]
    Conflict {
        /// The revision that the operator saw.
        seen: Revision,
        /// Who published what, in words.
        winner: String,
        /// The newest revision.
        current: Revision,
    },
    /// The operator expects a revision that doesn't exist.
    #[error(
        "nothing was published: revision {} is expected, but the service is at revision {}. If \
         the number is no slip, the service has lost accepted changes: restore its data before \
         publishing; otherwise publish again with --expect-revision {}",
        seen.0, current.0, current.0
    )]
    ServiceBehind {
        /// The revision that the operator saw.
        seen: Revision,
        /// The newest revision.
        current: Revision,
    },
    /// The configuration can't be read.
    #[error("nothing was changed: {0}")]
    Unavailable(#[source] ConfigurationError),
    /// The key-value service did not take the change in time.
    #[error(
        "nothing was changed: the key-value service did not take the change in time; check that \
         it runs, then publish again"
    )]
    NotTaken,
    /// Nodes did not answer.
    #[error("{}", lines(.0))]
    NodesUnavailable(Vec<UnansweredNode>),
    /// It can't be told whether the change was accepted.
    #[error(
        "it is unknown whether change {change_id} is in force: the key-value service stopped \
         answering. Look for it by `dyketally template history`; publishing again with \
         --expect-revision {} is safe, it is refused if the change is in force",
        seen.0
    )]
    Unknown {
        /// The change's identifier.
        change_id: ChangeId,
        /// The revision that the operator saw.
        seen: Revision,
    },
    /// Standard output can't be written.
    #[error("the output can't be written: {0}; check where standard output leads")]
    Output(#[from] std::io::Error),
}

/// A node that did not answer.
#[derive(Debug, thiserror::Error)]
#[error(
    "node {address} did not answer: {reason}; check that it runs and that {address} is its \
     admin address (listen.admin)"
)]
pub struct UnansweredNode {
    /// The admin address.
    pub address: SocketAddr,
    /// What happened.
    pub reason: String,
}

fn lines(nodes: &[UnansweredNode]) -> String {
    let lines: Vec<String> = nodes.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

impl Failure {
    /// The exit code that tells of this failure.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Failure::Faults(_)
            | Failure::Change(_)
            | Failure::File { .. }
            | Failure::NotFound { .. }
            | Failure::NotInLogs { .. }
            | Failure::Output(_) => ExitStatus::CheckFailed,
            Failure::NoService | Failure::MalformedUrl { .. } => ExitStatus::Usage,
            Failure::Conflict { .. } | Failure::ServiceBehind { .. } => ExitStatus::Conflict,
            Failure::Unavailable(_) | Failure::NotTaken | Failure::NodesUnavailable(_) => {
                ExitStatus::Unavailable
            }
            Failure::Unknown { .. } => ExitStatus::Unknown,
        }
    }
}
