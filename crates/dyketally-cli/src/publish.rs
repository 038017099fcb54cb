//! Publishes a change: checked against all documents, then compared and swapped.

use std::time::{SystemTime, UNIX_EPOCH};

use dyketally::configuration::{
    Change, ChangeId, DocumentEdit, PublishOutcome, Snapshot, UnixMillis, Winner,
};
use dyketally::document::FaultReport;
use dyketally::policy::Revision;
use dyketally::template::{DocumentKind, resolve};
use serde::Serialize;

use crate::command_line::{Publication, PublishArguments, RemoveArguments};
use crate::document_file::read_document;
use crate::failure::Failure;
use crate::listing::{describe_edits, require};
use crate::output::Output;
use crate::service::ConfigurationService;

/// Changes that are searched for the one that won.
const HISTORY_SEARCHED: u32 = 1_000;

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
    service: &dyn ConfigurationService,
    kind: DocumentKind,
    arguments: &PublishArguments,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let document = read_document(kind, &arguments.file)?;
    let name = document.name.clone();
    let snapshot = read_expected(service, &arguments.publication).await?;
    if snapshot.documents.of_kind(kind).get(&name) == Some(&document.text) {
        let report = Report {
            action: Action::Unchanged,
            kind,
            name: &name,
            revision: snapshot.revision,
            change: None,
        };
        return print(&report, output);
    }
    let edit = DocumentEdit::Put(document);
    let change = make_change(&snapshot, edit, &arguments.publication)?;
    let report = Report {
        action: Action::Published,
        kind,
        name: &name,
        revision: change.revision,
        change: Some(change.change_id),
    };
    send(service, change).await?;
    print(&report, output)
}

/// Publishes the removal of a document.
pub(crate) async fn remove(
    service: &dyn ConfigurationService,
    kind: DocumentKind,
    arguments: &RemoveArguments,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let snapshot = read_expected(service, &arguments.publication).await?;
    require(&snapshot, kind, &arguments.name)?;
    let name = arguments.name.clone();
    let edit = DocumentEdit::Remove { kind, name };
    let change = make_change(&snapshot, edit, &arguments.publication)?;
    let report = Report {
        action: Action::Removed,
        kind,
        name: &arguments.name,
        revision: change.revision,
        change: Some(change.change_id),
    };
    send(service, change).await?;
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

/// The newest documents, provided that they are at the revision that the operator expects.
async fn read_expected(
    service: &dyn ConfigurationService,
    publication: &Publication,
) -> Result<Snapshot, Failure> {
    let snapshot = service.read().await.map_err(unavailable)?;
    let current = snapshot.revision;
    let expected = publication.expect_revision.map_or(current, Revision);
    if expected > current {
        return Err(Failure::ServiceBehind { expected, current });
    }
    if expected < current {
        let winner = find_winner(service, expected).await;
        return Err(Failure::Conflict {
            expected,
            winner,
            current,
        });
    }
    Ok(snapshot)
}

/// Who published on top of `expected`, in words.
async fn find_winner(service: &dyn ConfigurationService, expected: Revision) -> String {
    let history = service.history(HISTORY_SEARCHED).await.unwrap_or_default();
    let following = Revision(expected.0 + 1);
    match history.iter().find(|change| change.revision == following) {
        Some(change) => {
            let edits = describe_edits(&change.edits);
            winner_in_words(&change.author, following, Some(edits))
        }
        None => "it is no longer the newest".to_owned(),
    }
}

fn winner_in_words(author: &str, revision: Revision, edits: Option<String>) -> String {
    let edits = edits.map_or(String::new(), |edits| format!(" ({edits})"));
    format!("{author} published revision {}{edits} first", revision.0)
}

fn make_change(
    snapshot: &Snapshot,
    edit: DocumentEdit,
    publication: &Publication,
) -> Result<Change, Failure> {
    let mut documents = (*snapshot.documents).clone();
    edit.apply(&mut documents);
    resolve(&documents).map_err(FaultReport)?;
    let change = Change {
        revision: Revision(snapshot.revision.0 + 1),
        change_id: ChangeId::random(&mut rand::rng()),
        author: publication.author.clone(),
        published_at: unix_millis(),
        edits: vec![edit],
    };
    change.check_bounds()?;
    Ok(change)
}

fn unix_millis() -> UnixMillis {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    UnixMillis(since_1970.unwrap_or_default().as_millis() as u64)
}

async fn send(service: &dyn ConfigurationService, change: Change) -> Result<(), Failure> {
    let change_id = change.change_id;
    let expected = Revision(change.revision.0 - 1);
    let outcome = service.publish(change).await.map_err(unavailable)?;
    match outcome {
        PublishOutcome::Accepted { .. } => Ok(()),
        PublishOutcome::Conflict { winner, current } => {
            let Winner {
                author, revision, ..
            } = winner;
            Err(Failure::Conflict {
                expected,
                winner: winner_in_words(&author, revision, None),
                current,
            })
        }
        PublishOutcome::ServiceBehind { current } => {
            Err(Failure::ServiceBehind { expected, current })
        }
        PublishOutcome::Unavailable {
            may_be_accepted: true,
        } => Err(Failure::Unknown {
            change: change_id,
            expected,
            reason: "the key-value service did not tell in time".to_owned(),
        }),
        PublishOutcome::Unavailable {
            may_be_accepted: false,
        } => Err(Failure::Unavailable {
            reason: "the key-value service did not take the change in time; check that it runs, \
                     then publish again"
                .to_owned(),
        }),
    }
}

/// A read failed: whatever the reason, nothing was changed.
pub(crate) fn unavailable(error: dyketally_proxy::platform::StoreError) -> Failure {
    Failure::Unavailable {
        reason: error.to_string(),
    }
}
