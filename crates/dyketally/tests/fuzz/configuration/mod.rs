//! Distribution of the configuration in the simulated system: the key-value service, two operators' tools, and each
//! node's synchronizer.

mod follower;
mod operator;
mod service;

use std::hash::{DefaultHasher, Hash, Hasher};

use dyketally::configuration::{Change, Document, DocumentEdit, Observation, Snapshot};
use dyketally::history::Digest;
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;

pub use follower::{Follower, NodeMessage};
pub use operator::Operator;
pub use service::Service;

use dyketally::configuration::sync::{WatchId, WatchReport};

/// Name of the document that every change replaces; its text is the newest change's identifier.
const NEWEST: &str = "newest";
const KIND: DocumentKind = DocumentKind::Tenant;

/// Messages between the key-value service and its clients, which are nodes and operators' tools.
#[derive(Clone, Debug)]
pub enum ServiceMessage {
    Current,
    CurrentIs(Revision),
    Commit(Change),
    Committed,
    NotCommitted(Observation),
    ReadBack { seen: Revision },
    Observed(Observation),
    Watch { watch: WatchId, have: Revision },
    Report { watch: WatchId, report: WatchReport },
}

fn edit(text: String) -> DocumentEdit {
    DocumentEdit::Put(Document {
        kind: KIND,
        name: NEWEST.to_owned(),
        text,
    })
}

fn digest(text: &str) -> Digest {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    Digest(hasher.finish())
}

fn digest_of_change(change: &Change) -> Digest {
    digest(&change.change_id.to_string())
}

fn digest_of_snapshot(snapshot: &Snapshot) -> Digest {
    let text = snapshot.documents.of_kind(KIND).get(NEWEST);
    digest(text.map(String::as_str).unwrap_or_default())
}
