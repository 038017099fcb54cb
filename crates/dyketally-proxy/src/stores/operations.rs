//! What the operators' tool does with the stored configuration.

use std::sync::Arc;

use dyketally::configuration::{
    Change, ChangeError, ChangeId, DocumentEdit, PublishOutcome, Publisher, PublisherAnswer,
    PublisherSettings, PublisherStep, Snapshot, UnixMillis,
};
use dyketally::document::FaultReport;
use dyketally::policy::Revision;
use dyketally::template::resolve;
use rand::Rng;

use super::configuration_store::{Commit, ConfigurationError, ConfigurationStore};
use super::patience::Patience;
use crate::clock;

/// A change that an operator wants to publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublishRequest {
    /// The revision that the operator saw when making the change.
    pub seen: Revision,
    /// Who publishes it.
    pub author: String,
    /// The operator's clock.
    pub published_at: UnixMillis,
    /// What it changes.
    pub edits: Vec<DocumentEdit>,
}

/// Why a change was not offered to the service.
#[derive(Debug, thiserror::Error)]
pub enum PublishError {
    /// It is empty or too large.
    #[error(transparent)]
    Bounds(#[from] ChangeError),
    /// The documents would be at fault.
    #[error(transparent)]
    Faults(#[from] FaultReport),
    /// The documents that it was made on can't be read; nothing was published.
    #[error(transparent)]
    Unreadable(#[from] ConfigurationError),
}

/// A publication that was offered to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Publication {
    /// Identifies the change in the history.
    pub change_id: ChangeId,
    /// How it ended.
    pub outcome: PublishOutcome,
}

/// Checks the documents as they would become and publishes the change.
///
/// # Errors
/// When the change was not offered to the service at all; it is not in force then.
pub async fn publish(
    store: &ConfigurationStore,
    request: PublishRequest,
    settings: PublisherSettings,
    random: &mut impl Rng,
) -> Result<Publication, PublishError> {
    let change = Change {
        revision: Revision(request.seen.0 + 1),
        change_id: ChangeId::random(random),
        author: request.author,
        published_at: request.published_at,
        edits: request.edits,
    };
    change.check_bounds()?;
    let patience = Patience::new(settings);
    let current = patience.read(store, random).await?.snapshot;
    check_documents(&current, &change)?;
    let change_id = change.change_id;
    let publisher = Publisher::new(change, settings, clock::now());
    let outcome = drive(store, publisher, random).await;
    Ok(Publication { change_id, outcome })
}

/// The documents in force at the service, with their revision.
///
/// # Errors
/// When the service fails or a key can't be read.
pub async fn current_documents(store: &ConfigurationStore) -> Result<Snapshot, ConfigurationError> {
    Ok(store.current().await?.snapshot)
}

/// As [`current_documents`], but goes on trying while the service is down or limits the rate.
///
/// # Errors
/// When the service still fails at the end of the publisher's patience, or a key can't be read.
pub async fn wait_for_documents(
    store: &ConfigurationStore,
    settings: PublisherSettings,
    random: &mut impl Rng,
) -> Result<Snapshot, ConfigurationError> {
    let patience = Patience::new(settings);
    Ok(patience.read(store, random).await?.snapshot)
}

/// The newest `limit` changes, newest first; those before `before` if it is given.
///
/// # Errors
/// When the service fails or a key can't be read.
pub async fn history(
    store: &ConfigurationStore,
    before: Option<Revision>,
    limit: u32,
) -> Result<Vec<Arc<Change>>, ConfigurationError> {
    store.history(before, limit).await
}

/// Checks the documents that the change would make. Those of another revision than the one that
/// the operator saw aren't checked: the publication will end in conflict.
fn check_documents(current: &Snapshot, change: &Change) -> Result<(), FaultReport> {
    if current.revision.0 + 1 != change.revision.0 {
        return Ok(());
    }
    let mut documents = (*current.documents).clone();
    for edit in &change.edits {
        edit.apply(&mut documents);
    }
    resolve(&documents).map_err(FaultReport)?;
    Ok(())
}

async fn drive(
    store: &ConfigurationStore,
    mut publisher: Publisher,
    random: &mut impl Rng,
) -> PublishOutcome {
    let mut step = publisher.resume();
    loop {
        let answer = match step {
            PublisherStep::Finished(outcome) => return outcome,
            PublisherStep::WaitUntil(until) => {
                tokio::time::sleep(until.saturating_since(clock::now())).await;
                step = publisher.resume();
                continue;
            }
            PublisherStep::Commit => commit(store, publisher.change()).await,
            PublisherStep::ReadBack => read_back(store, publisher.seen()).await,
        };
        step = publisher.answer(answer, clock::now(), random);
    }
}

async fn commit(store: &ConfigurationStore, change: &Change) -> PublisherAnswer {
    match store.commit(change).await {
        Ok(Commit::Accepted) => PublisherAnswer::Committed,
        Ok(Commit::Refused(observation)) => PublisherAnswer::NotCommitted(observation),
        Err(error) if error.may_have_taken_effect() => PublisherAnswer::Undetermined,
        Err(error) => failed(&error),
    }
}

async fn read_back(store: &ConfigurationStore, seen: Revision) -> PublisherAnswer {
    match store.read_back(seen).await {
        Ok(observation) => PublisherAnswer::Read(observation),
        Err(error) => failed(&error),
    }
}

fn failed(error: &ConfigurationError) -> PublisherAnswer {
    PublisherAnswer::Failed {
        retry_after: error.retry_after(),
    }
}
