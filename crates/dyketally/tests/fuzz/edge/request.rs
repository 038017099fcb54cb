//! A caller's request at an edge, and the policy of the group that edges route to.

use super::*;

/// The operation that a caller requests.
#[derive(Clone, Debug)]
pub enum CallKind {
    Lookup {
        key: Key,
    },
    Write {
        entries: Vec<Entry>,
        repeat: Repeat,
    },
    /// A transaction with one statement per entry.
    Transaction {
        entries: Vec<Entry>,
    },
}

/// A caller's request as the caller sends it to an edge.
#[derive(Clone, Debug)]
pub struct Call {
    pub client: usize,
    /// Number of the caller's connection.
    pub connection: u64,
    pub request: RequestNumber,
    pub token: Option<SessionToken>,
    pub kind: CallKind,
}

/// A call with its progress at the edge.
pub(super) struct Request {
    pub(super) call: Call,
    pub(super) deadline: Timestamp,
    pub(super) attempt: Attempt,
    /// When to choose a route again; none if the request isn't waiting for one.
    pub(super) choose_route_at: Option<Timestamp>,
    /// Number of statements that are done; more than one only in a transaction.
    pub(super) step: usize,
    pub(super) transaction_name: String,
    /// The outstanding attempt: link to the home, request number on the link, member of the group.
    pub(super) awaited: Option<(ConnectionId, u64, usize)>,
    /// Whether an earlier attempt that may have changed data ended without an answer.
    pub(super) may_have_run: bool,
}

impl Request {
    pub(super) fn operation(&self) -> Operation {
        match &self.call.kind {
            CallKind::Lookup { key } => Operation::Lookup { key: key.clone() },
            CallKind::Write { entries, repeat } => Operation::Write {
                entries: entries.clone(),
                recorded: *repeat == Repeat::Recorded,
            },
            CallKind::Transaction { entries } => match self.step.checked_sub(1) {
                None => Operation::Begin,
                Some(index) => match entries.get(index) {
                    Some(entry) => Operation::Add {
                        entry: entry.clone(),
                    },
                    None => Operation::Commit,
                },
            },
        }
    }

    /// Whether the request's next statement can change data on its own: a write or a commit.
    pub(super) fn changes_data(&self) -> bool {
        self.operation().may_change_data()
    }

    pub(super) fn repeat(&self) -> Repeat {
        match &self.call.kind {
            CallKind::Lookup { .. } => Repeat::Repeatable,
            CallKind::Write { repeat, .. } => *repeat,
            CallKind::Transaction { .. } => Repeat::Never,
        }
    }
}

pub(super) fn group_name() -> GroupName {
    GroupName::from("stock")
}

pub(super) fn locality(zone: usize) -> Locality {
    Locality {
        region: "south".into(),
        zone: format!("zone-{zone}").as_str().into(),
    }
}

pub(super) fn group_policy() -> GroupPolicy {
    let member = |member: usize| DatabasePolicy {
        name: member_name(member),
        address: ([127, 0, 0, 1], 1).into(),
        locality: locality(member),
        connection_limit: 5,
        slots: 2,
    };
    GroupPolicy {
        name: group_name(),
        members: (0..MEMBERS).map(member).collect(),
        status_statement: String::new(),
        ledger_table: String::new(),
    }
}
