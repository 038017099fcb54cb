//! Samples of every message from an edge to a home.

use std::time::Duration;

use dyketally::configuration::sync::{DocumentKey, PartOfSnapshot, PullRequest};
use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::{RequestId, SessionId};
use dyketally::policy::{Access, Repeat, Revision, Urgency};
use dyketally::template::DocumentKind;
use dyketally_protocol::{
    EdgeMessage, ExecuteRequest, Freshness, Hello, PROTOCOL_VERSION, PreparedStatement,
    StatementBatch, StatementName, Step,
};

/// The sample messages with their labels in `messages.txt`.
pub fn messages() -> Vec<(String, EdgeMessage)> {
    let request = RequestId(300);
    let named = [
        ("Hello", hello()),
        ("Execute, all steps", EdgeMessage::Execute(execute(batch()))),
        ("Consumed", EdgeMessage::Consumed { request, chunks: 7 }),
        ("Cancel", EdgeMessage::Cancel { request }),
        ("EndSession", EdgeMessage::EndSession { session: session() }),
        ("PullConfiguration", pull(None)),
        ("PullConfiguration, first part", pull(Some(part(None)))),
    ];
    let kinds = [
        DocumentKind::Group,
        DocumentKind::Template,
        DocumentKind::Tenant,
    ];
    let parts = kinds.map(|kind| {
        let label = format!("PullConfiguration, part after a {kind}");
        (label, pull(Some(part(Some(kind)))))
    });
    let named = named.map(|(label, message)| (label.to_owned(), message));
    named
        .into_iter()
        .chain(parts)
        .chain(executes())
        .map(|(label, message)| (format!("EdgeMessage::{label}"), message))
        .collect()
}

fn hello() -> EdgeMessage {
    EdgeMessage::Hello(Hello {
        version: PROTOCOL_VERSION,
        node: "node-a".into(),
    })
}

fn session() -> SessionId {
    SessionId {
        edge: "node-a".into(),
        incarnation: 1_000,
        number: 2,
    }
}

fn pull(part: Option<PartOfSnapshot>) -> EdgeMessage {
    let have = Revision(129);
    EdgeMessage::PullConfiguration(PullRequest { have, part })
}

/// The part of a snapshot that follows the document `shops` of this kind, or the first part.
pub fn part(kind: Option<DocumentKind>) -> PartOfSnapshot {
    PartOfSnapshot {
        revision: Revision(130),
        after: kind.map(|kind| DocumentKey {
            kind,
            name: "shops".to_owned(),
        }),
    }
}

fn execute(batch: StatementBatch) -> ExecuteRequest {
    ExecuteRequest {
        request: RequestId(1),
        database: "ledger-1".into(),
        tenant: "shops".into(),
        session: session(),
        transaction: Some(3),
        access: Access::Write,
        urgency: Urgency::Normal,
        repeat: Repeat::Never,
        freshness: Freshness::Current,
        time_left: Duration::new(1, 500_000_000),
        batch,
    }
}

/// A batch with one step of each kind.
fn batch() -> StatementBatch {
    let name = StatementName("s1".to_owned());
    let portal = "p".to_owned();
    StatementBatch {
        prepared: vec![PreparedStatement {
            name: name.clone(),
            query: "SELECT $1".to_owned(),
            parameter_types: vec![0, 25],
        }],
        steps: vec![
            Step::Query("SELECT 1".to_owned()),
            Step::Parse(name.clone()),
            Step::Bind {
                statement: name.clone(),
                encoded: vec![0x42, 0, 0xff].into(),
            },
            Step::DescribeStatement(name.clone()),
            Step::DescribePortal(portal.clone()),
            Step::Execute {
                portal: portal.clone(),
                max_rows: -1,
            },
            Step::ClosePortal(portal),
            Step::CloseStatement(name),
            Step::Sync,
        ],
    }
}

/// A write with an empty batch, and requests that differ from it in one field each.
fn executes() -> Vec<(String, EdgeMessage)> {
    let request = || execute(StatementBatch::default());
    let position = LogPosition {
        term: Term(4),
        offset: 200,
    };
    let requests = [
        ("write", request()),
        (
            "no transaction",
            ExecuteRequest {
                transaction: None,
                ..request()
            },
        ),
        (
            "read",
            ExecuteRequest {
                access: Access::Read,
                ..request()
            },
        ),
        (
            "urgent",
            ExecuteRequest {
                urgency: Urgency::Urgent,
                ..request()
            },
        ),
        (
            "repeatable",
            ExecuteRequest {
                repeat: Repeat::Repeatable,
                ..request()
            },
        ),
        (
            "recorded",
            ExecuteRequest {
                repeat: Repeat::Recorded,
                ..request()
            },
        ),
        (
            "at least a position",
            ExecuteRequest {
                freshness: Freshness::AtLeast(position),
                ..request()
            },
        ),
        (
            "any freshness",
            ExecuteRequest {
                freshness: Freshness::Any,
                ..request()
            },
        ),
    ];
    requests
        .into_iter()
        .map(|(label, request)| (format!("Execute, {label}"), EdgeMessage::Execute(request)))
        .collect()
}
