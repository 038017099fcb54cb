//! Answers the pull requests of peers within a size limit.

use std::sync::Arc;

use super::message::{DocumentKey, PartOfSnapshot, PullReply, PullRequest};
use crate::configuration::change::{Change, Document};
use crate::configuration::log::{ConfigurationLog, Missing};
use crate::template::{DocumentKind, Documents};

/// All kinds of documents, in ascending order.
const KINDS: [DocumentKind; 3] = [
    DocumentKind::Group,
    DocumentKind::Template,
    DocumentKind::Tenant,
];

/// The answer to `request`. Its changes or documents have at most `most_bytes` bytes together; a
/// single change or document that is larger is sent alone.
pub(super) fn answer(log: &ConfigurationLog, request: PullRequest, most_bytes: usize) -> PullReply {
    match log.since(request.have) {
        Missing::Nothing => PullReply::Changes {
            changes: Vec::new(),
        },
        Missing::Changes(changes) => PullReply::Changes {
            changes: first_changes(changes, most_bytes),
        },
        Missing::Snapshot => part_of_snapshot(log, request, most_bytes),
    }
}

fn first_changes(mut changes: Vec<Arc<Change>>, most_bytes: usize) -> Vec<Arc<Change>> {
    let mut bytes = 0;
    let fitting = changes.iter().take_while(|change| {
        bytes += change.bytes();
        bytes <= most_bytes
    });
    let count = fitting.count().max(1);
    changes.truncate(count);
    changes
}

fn part_of_snapshot(log: &ConfigurationLog, request: PullRequest, most_bytes: usize) -> PullReply {
    let revision = log.revision();
    let wanted = request.part.filter(|part| part.revision == revision);
    let after = wanted.and_then(|part| part.after);
    let mut remaining = documents_after(&log.snapshot().documents, after.as_ref()).peekable();
    let mut bytes = 0;
    let mut documents: Vec<Document> = Vec::new();
    while let Some(next) = remaining.peek() {
        bytes += next.bytes();
        if bytes > most_bytes && !documents.is_empty() {
            break;
        }
        documents.extend(remaining.next());
    }
    let last = remaining.peek().is_none();
    drop(remaining);
    PullReply::Part {
        part: PartOfSnapshot { revision, after },
        last,
        documents,
    }
}

fn documents_after<'a>(
    documents: &'a Documents,
    after: Option<&'a DocumentKey>,
) -> impl Iterator<Item = Document> + 'a {
    let of_kind = move |kind| {
        let all = documents.of_kind(kind).iter();
        let missing = all.filter(move |(name, _)| is_after(kind, name, after));
        missing.map(move |(name, text)| Document {
            kind,
            name: name.clone(),
            text: text.clone(),
        })
    };
    KINDS.into_iter().flat_map(of_kind)
}

fn is_after(kind: DocumentKind, name: &str, after: Option<&DocumentKey>) -> bool {
    after.is_none_or(|after| (kind, name) > (after.kind, after.name.as_str()))
}
