//! Changes and nodes for the tests.

use std::sync::Arc;

use dyketally::configuration::{Change, ChangeId, Document, DocumentEdit, UnixMillis};
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// An identifier that only depends on `seed`.
pub fn change_id(seed: u64) -> ChangeId {
    ChangeId::random(&mut StdRng::seed_from_u64(seed))
}

/// Puts the tenant `name`.
pub fn put(name: &str, text: &str) -> DocumentEdit {
    DocumentEdit::Put(Document {
        kind: DocumentKind::Tenant,
        name: name.into(),
        text: text.into(),
    })
}

/// The change that makes `revision`; distinct for each `seed`.
pub fn change_by(seed: u64, revision: u64) -> Arc<Change> {
    Arc::new(Change {
        revision: Revision(revision),
        change_id: change_id(seed),
        author: format!("author {seed}"),
        published_at: UnixMillis(0),
        edits: vec![put(&format!("tenant-{revision}"), &format!("text {seed}"))],
    })
}

/// The change that makes `revision`.
pub fn change(revision: u64) -> Arc<Change> {
    change_by(revision, revision)
}

pub fn changes(revisions: impl IntoIterator<Item = u64>) -> Vec<Arc<Change>> {
    revisions.into_iter().map(change).collect()
}
