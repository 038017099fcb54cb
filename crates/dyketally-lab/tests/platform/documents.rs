//! Documents that resolve, and one that doesn't.

use std::sync::Arc;

use dyketally::configuration::{Document, DocumentEdit, PublishOutcome, UnixMillis};
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally_proxy::stores::operations::PublishRequest;
use dyketally_proxy::stores::{ConfigurationKeys, ConfigurationStore, KeyValueStore};

const MEMBER: &str = r#"
[[members]]
name = "ledger-a"
address = "127.0.0.1:5432"
region = "bavaria"
zone = "rosenheim"
connection_limit = 40
slots = 5
"#;

/// A group whose status statement selects `value`, which tells its versions apart.
pub fn group(value: &str) -> DocumentEdit {
    let head = format!("name = \"ledger\"\nstatus_statement = \"SELECT {value}\"\n");
    put("ledger", head + MEMBER)
}

/// A group of no members.
pub fn faulty_group() -> DocumentEdit {
    put("ledger", "name = \"ledger\"".into())
}

fn put(name: &str, text: String) -> DocumentEdit {
    DocumentEdit::Put(Document {
        kind: DocumentKind::Group,
        name: name.into(),
        text,
    })
}

pub fn request(author: &str, seen: u64, edit: DocumentEdit) -> PublishRequest {
    PublishRequest {
        seen: Revision(seen),
        author: author.into(),
        published_at: UnixMillis(1),
        edits: vec![edit],
    }
}

pub fn configuration(store: Arc<dyn KeyValueStore>) -> ConfigurationStore {
    ConfigurationStore::new(store, ConfigurationKeys::default())
}

pub fn accepted(revision: u64) -> PublishOutcome {
    PublishOutcome::Accepted {
        revision: Revision(revision),
    }
}
