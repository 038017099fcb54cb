//! Sample changes and nodes for the tests of the configuration.

use std::sync::Arc;

use dyketally::configuration::sync::{PullReply, SyncAction, SyncSettings, Synchronizer};
use dyketally::configuration::{Change, ChangeId, Document, DocumentEdit, Snapshot, UnixMillis};
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// An identifier that only depends on `seed`.
pub fn change_id(seed: u64) -> ChangeId {
    ChangeId::random(&mut StdRng::seed_from_u64(seed))
}

/// The edit that puts the document of the tenant `name`.
pub fn put(name: &str, text: &str) -> DocumentEdit {
    DocumentEdit::Put(Document {
        kind: DocumentKind::Tenant,
        name: name.into(),
        text: text.into(),
    })
}

/// The change that creates `revision`, distinct for each `seed`.
pub fn change_by(seed: u64, revision: u64) -> Arc<Change> {
    Arc::new(Change {
        revision: Revision(revision),
        change_id: change_id(seed),
        author: format!("author {seed}"),
        published_at: UnixMillis(0),
        edits: vec![put(&format!("tenant-{revision}"), &format!("text {seed}"))],
    })
}

/// The change that creates `revision`, the same at each call.
pub fn change(revision: u64) -> Arc<Change> {
    change_by(revision, revision)
}

pub fn changes(revisions: impl IntoIterator<Item = u64>) -> Vec<Arc<Change>> {
    revisions.into_iter().map(change).collect()
}

/// A node that has applied the changes up to `revision`.
pub fn node_at(name: &str, revision: u64, settings: SyncSettings) -> Synchronizer {
    let mut node = Synchronizer::new(name.into(), settings, 1);
    let reply = PullReply::Changes {
        changes: changes(1..=revision),
    };
    node.pull_reply(&"origin".into(), reply, Timestamp::ZERO);
    assert_eq!(node.revision(), Revision(revision));
    node
}

/// The revisions that `actions` report as in force.
pub fn in_force(actions: &[SyncAction]) -> Vec<Revision> {
    let revisions = actions.iter().filter_map(|action| match action {
        SyncAction::InForce(Snapshot { revision, .. }) => Some(*revision),
        _ => None,
    });
    revisions.collect()
}
