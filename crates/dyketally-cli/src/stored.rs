//! Reads the stored configuration.

use dyketally::configuration::Snapshot;
use dyketally::template::DocumentKind;
use dyketally_proxy::stores::configuration_store::ConfigurationError;
use dyketally_proxy::stores::{ConfigurationStore, operations};

use crate::failure::Failure;

/// A read failed: nothing was changed.
pub(crate) fn unavailable(error: ConfigurationError) -> Failure {
    Failure::Unavailable(error)
}

/// All documents at the newest revision.
pub(crate) async fn read(store: &ConfigurationStore) -> Result<Snapshot, Failure> {
    let read = operations::current_documents(store).await;
    read.map_err(unavailable)
}

/// The text of a document that must exist.
pub(crate) fn require<'a>(
    snapshot: &'a Snapshot,
    kind: DocumentKind,
    name: &str,
) -> Result<&'a str, Failure> {
    let documents = snapshot.documents.of_kind(kind);
    if let Some(text) = documents.get(name) {
        return Ok(text);
    }
    let names: Vec<&str> = documents.keys().map(String::as_str).collect();
    let known = match names.is_empty() {
        true => "none".to_owned(),
        false => names.join(", "),
    };
    Err(Failure::NotFound {
        kind,
        name: name.to_owned(),
        revision: snapshot.revision,
        known,
    })
}
