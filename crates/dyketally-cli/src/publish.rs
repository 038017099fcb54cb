//! Publishes a change: checked against all documents, then compared and swapped.

use std::time::{SystemTime, UNIX_EPOCH};

use dyketally::configuration::{
    ChangeId, DocumentEdit, PublishOutcome, PublisherSettings, Snapshot, UnixMillis, Winner,
};
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally_proxy::stores::ConfigurationStore;
use dyketally_proxy::stores::operations::{self, PublishError, PublishRequest};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::command_line::{Publication, PublishArguments, RemoveArguments};
use crate::document_file::read_document;
use crate::failure::Failure;
use crate::history::describe_edits;
use crate::output::Output;
use crate::stored::{require, unavailable};

/// What became of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Action {
    Published,
    Removed,
    Unchanged,
}

/// What a publication prints.
#[derive(Debug, Serialize)]
struct Report<'a> {
    action: Action,
    kind: DocumentKind,
    name: &'a str,
    revision: Revision,
    #[serde(skip_serializing_if = "Option::is_none")]
    change: Option<ChangeId>,
}

/// Publishes the document in a file.
pub(crate) async fn publish(
    store: &ConfigurationStore,
    kind: DocumentKind,
    arguments: &PublishArguments,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let document = read_document(kind, &arguments.file)?;
    let name = document.name.clone();
    let publisher = Publisher::new(store, &arguments.publication);
    let snapshot = publisher.read().await?;
    let seen = publisher.seen(&snapshot);
    let same = snapshot.documents.of_kind(kind).get(&name) == Some(&document.text);
    if same && seen == snapshot.revision {
        let report = Report {
            action: Action::Unchanged,
            kind,
            name: &name,
            revision: seen,
            change: None,
        };
        return print(&report, output);
    }
    let accepted = publisher.send(seen, DocumentEdit::Put(document)).await?;
    let report = Report {
        action: Action::Published,
        kind,
        name: &name,
        revision: accepted.revision,
        change: Some(accepted.change_id),
    };
    print(&report, output)
}

/// Publishes the removal of a document.
pub(crate) async fn remove(
    store: &ConfigurationStore,
    kind: DocumentKind,
    arguments: &RemoveArguments,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let publisher = Publisher::new(store, &arguments.publication);
    let snapshot = publisher.read().await?;
    require(&snapshot, kind, &arguments.name)?;
    let name = arguments.name.clone();
    let edit = DocumentEdit::Remove { kind, name };
    let accepted = publisher.send(publisher.seen(&snapshot), edit).await?;
    let report = Report {
        action: Action::Removed,
        kind,
        name: &arguments.name,
        revision: accepted.revision,
        change: Some(accepted.change_id),
    };
    print(&report, output)
}

fn print(report: &Report<'_>, output: &mut Output<'_>) -> Result<(), Failure> {
    let Report {
        kind,
        name,
        revision: Revision(revision),
        ..
    } = report;
    let text = match report.action {
        Action::Published => format!("published {kind} {name:?} as revision {revision}"),
        Action::Removed => format!("removed {kind} {name:?} as revision {revision}"),
        Action::Unchanged => {
            format!("{kind} {name:?} is the same at revision {revision}; nothing was published")
        }
    };
    output.result(report, &text)
}

/// A change that is in force.
struct Accepted {
    revision: Revision,
    change_id: ChangeId,
}

/// Publishes as one operator.
struct Publisher<'a> {
    store: &'a ConfigurationStore,
    publication: &'a Publication,
    settings: PublisherSettings,
}

impl<'a> Publisher<'a> {
    fn new(store: &'a ConfigurationStore, publication: &'a Publication) -> Self {
        let settings = PublisherSettings {
            patience: publication.patience,
            ..PublisherSettings::default()
        };
        Self {
            store,
            publication,
            settings,
        }
    }

    async fn read(&self) -> Result<Snapshot, Failure> {
        let mut random = StdRng::from_os_rng();
        let read = operations::wait_for_documents(self.store, self.settings, &mut random);
        read.await.map_err(unavailable)
    }

    /// The revision that the operator saw: the one named, or else the newest one.
    fn seen(&self, snapshot: &Snapshot) -> Revision {
        let named = self.publication.expect_revision.map(Revision);
        named.unwrap_or(snapshot.revision)
    }

    async fn send(&self, seen: Revision, edit: DocumentEdit) -> Result<Accepted, Failure> {
        let request = PublishRequest {
            seen,
            author: self.publication.author.clone(),
            published_at: unix_millis(),
            edits: vec![edit],
        };
        let mut random = StdRng::from_os_rng();
        let published = operations::publish(self.store, request, self.settings, &mut random);
        let published = published.await.map_err(not_offered)?;
        let change_id = published.change_id;
        match published.outcome {
            PublishOutcome::Accepted { revision } => Ok(Accepted {
                revision,
                change_id,
            }),
            PublishOutcome::Conflict { winner, current } => {
                let winner = self.describe(winner).await;
                Err(Failure::Conflict {
                    seen,
                    winner,
                    current,
                })
            }
            PublishOutcome::ServiceBehind { current } => {
                Err(Failure::ServiceBehind { seen, current })
            }
            PublishOutcome::Unavailable {
                may_be_accepted: true,
            } => Err(Failure::Unknown { change_id, seen }),
            PublishOutcome::Unavailable {
                may_be_accepted: false,
            } => Err(Failure::NotTaken),
        }
    }

    /// Who published what, in words.
    async fn describe(&self, winner: Winner) -> String {
        let Winner {
            author, revision, ..
        } = winner;
        let after = Revision(revision.0 + 1);
        let history = operations::history(self.store, Some(after), 1).await;
        // The author alone is enough when the service doesn't answer any more.
        let change = history.ok().and_then(|changes| changes.first().cloned());
        let edits = change.map_or(String::new(), |change| {
            format!(" ({})", describe_edits(&change.edits))
        });
        format!("{author} published revision {}{edits} first", revision.0)
    }
}

fn unix_millis() -> UnixMillis {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    // A clock before 1970 gives 1970: the time is shown to people and never compared.
    UnixMillis(since_1970.unwrap_or_default().as_millis() as u64)
}

fn not_offered(error: PublishError) -> Failure {
    match error {
        PublishError::Bounds(error) => Failure::Change(error),
        PublishError::Faults(report) => Failure::Faults(report),
        PublishError::Unreadable(error) => unavailable(error),
    }
}
