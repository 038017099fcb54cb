//! The JSON of a change in the key-value service, pinned: nodes of a later build read the changes
//! that operators have published with an earlier one.

use dyketally::configuration::{Change, Document, DocumentEdit, UnixMillis};
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;

const PINNED: &str = r#"{
  "revision": 130,
  "change_id": "000102030405060708090a0b0c0d0e0f",
  "author": "ops",
  "published_at": 1700000000000,
  "edits": [
    {
      "put": {
        "kind": "tenant",
        "name": "shops",
        "text": "weight = 2"
      }
    },
    {
      "put": {
        "kind": "template",
        "name": "shop",
        "text": ""
      }
    },
    {
      "remove": {
        "kind": "group",
        "name": "ledger"
      }
    }
  ]
}"#;

fn change() -> Change {
    let put = |kind, name: &str, text: &str| {
        DocumentEdit::Put(Document {
            kind,
            name: name.to_owned(),
            text: text.to_owned(),
        })
    };
    Change {
        revision: Revision(130),
        change_id: "000102030405060708090a0b0c0d0e0f".parse().expect("hex"),
        author: "ops".to_owned(),
        published_at: UnixMillis(1_700_000_000_000),
        edits: vec![
            put(DocumentKind::Tenant, "shops", "weight = 2"),
            put(DocumentKind::Template, "shop", ""),
            DocumentEdit::Remove {
                kind: DocumentKind::Group,
                name: "ledger".to_owned(),
            },
        ],
    }
}

#[test]
fn a_stored_change_keeps_its_form() {
    let written = serde_json::to_string_pretty(&change()).expect("written");
    assert_eq!(written, PINNED);
    let read: Change = serde_json::from_str(PINNED).expect("read");
    assert_eq!(read, change());
}
