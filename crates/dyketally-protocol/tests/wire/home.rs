//! Samples of every message from a home to an edge.

use std::sync::Arc;
use std::time::Duration;

use dyketally::configuration::sync::PullReply;
use dyketally::configuration::{Change, ChangeId, Document, DocumentEdit, UnixMillis};
use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::RequestId;
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally::policy::Revision;
use dyketally::template::DocumentKind;
use dyketally_protocol::{Completion, Hello, HomeMessage, PROTOCOL_VERSION, TransactionStatus};

use crate::edge::part;

const REQUEST: RequestId = RequestId(300);

/// The sample messages with their labels in `messages.txt`.
pub fn messages() -> Vec<(String, HomeMessage)> {
    let named = [
        ("Hello".to_owned(), hello()),
        ("Data".to_owned(), data()),
        ("Configuration, changes".to_owned(), changes()),
        ("Configuration, part".to_owned(), snapshot_part()),
    ];
    let finished = completions().into_iter().map(|(label, completion)| {
        let request = REQUEST;
        let message = HomeMessage::Finished {
            request,
            completion,
        };
        (format!("Finished, {label}"), message)
    });
    named
        .into_iter()
        .chain(finished)
        .map(|(label, message)| (format!("HomeMessage::{label}"), message))
        .collect()
}

fn hello() -> HomeMessage {
    HomeMessage::Hello(Hello {
        version: PROTOCOL_VERSION,
        node: "node-b".into(),
    })
}

fn data() -> HomeMessage {
    HomeMessage::Data {
        request: REQUEST,
        messages: vec![0x44, 0, 0xff].into(),
    }
}

fn document(kind: DocumentKind) -> Document {
    Document {
        kind,
        name: "shops".to_owned(),
        text: "weight = 2".to_owned(),
    }
}

fn changes() -> HomeMessage {
    let change_id: ChangeId = "000102030405060708090a0b0c0d0e0f".parse().expect("hex");
    let change = Change {
        revision: Revision(130),
        change_id,
        author: "ops".to_owned(),
        published_at: UnixMillis(1_700_000_000_000),
        edits: vec![
            DocumentEdit::Put(document(DocumentKind::Tenant)),
            DocumentEdit::Remove {
                kind: DocumentKind::Group,
                name: "ledger".to_owned(),
            },
        ],
    };
    let changes = vec![Arc::new(change)];
    HomeMessage::Configuration(PullReply::Changes { changes })
}

fn snapshot_part() -> HomeMessage {
    HomeMessage::Configuration(PullReply::Part {
        part: part(Some(DocumentKind::Template)),
        last: true,
        documents: vec![document(DocumentKind::Template)],
    })
}

fn completions() -> Vec<(String, Completion)> {
    let seen = LogPosition {
        term: Term(4),
        offset: 200,
    };
    let done = [
        ("nothing seen", None, TransactionStatus::Idle),
        ("open", Some(seen), TransactionStatus::Open),
        ("failed", Some(seen), TransactionStatus::Failed),
    ];
    let done = done.map(|(label, seen, transaction)| {
        (
            format!("done, {label}"),
            Completion::Done { seen, transaction },
        )
    });
    let reasons = [
        NotRunReason::QueueFull,
        NotRunReason::DeadlinePassed,
        NotRunReason::NoPrimary,
        NotRunReason::Unreachable,
        NotRunReason::Leaving,
        NotRunReason::NotConfigured,
        NotRunReason::NotHome,
        NotRunReason::Refused,
    ];
    let not_run = reasons.map(|reason| {
        let retry_after = (reason == NotRunReason::QueueFull).then(|| Duration::from_millis(250));
        let completion = Completion::NotRun {
            reason,
            retry_after,
        };
        (format!("not run, {reason:?}"), completion)
    });
    let reasons = [
        UnknownReason::ConnectionLost,
        UnknownReason::HomeLost,
        UnknownReason::NotConfirmed,
        UnknownReason::DeadlinePassed,
    ];
    let unknown = reasons.map(|reason| {
        (
            format!("unknown, {reason:?}"),
            Completion::Unknown { reason },
        )
    });
    let redirects = [("no primary", None), ("primary", Some("ledger-2".into()))];
    let redirects = redirects.map(|(label, primary)| {
        let term = Term(5);
        (
            format!("redirect, {label}"),
            Completion::Redirect { primary, term },
        )
    });
    let rolled_back = ("rolled back".to_owned(), Completion::RolledBack);
    done.into_iter()
        .chain(not_run)
        .chain(unknown)
        .chain(redirects)
        .chain([rolled_back])
        .collect()
}
