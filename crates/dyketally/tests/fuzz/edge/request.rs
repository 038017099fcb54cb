//! A caller's request at an edge, and the group as the edge knows it.

use super::*;

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum Wish {
    Lookup {
        key: Key,
    },
    Write {
        entries: Vec<Entry>,
        repeat: Repeat,
    },
    /// A transaction of one statement an entry.
    Transaction {
        entries: Vec<Entry>,
    },
}

#[derive(Clone, Debug)]
pub struct Call {
    pub client: usize,
    /// Number of the caller's connection.
    pub connection: u64,
    pub request: RequestNumber,
    pub token: Option<SessionToken>,
    pub wish: Wish,
}

pub(super) struct Request {
    pub(super) call: Call,
    pub(super) deadline: Timestamp,
    pub(super) attempt: Attempt,
    pub(super) choose_at: Option<Timestamp>,
    /// Statements of a transaction that are done.
    pub(super) step: usize,
    pub(super) transaction_name: String,
    /// Where it is: link, number on the link, database.
    pub(super) at_home: Option<(ConnectionId, u64, usize)>,
    /// An attempt that may have changed data ended without an answer.
    pub(super) may_have_run: bool,
}

impl Request {
    pub(super) fn operation(&self) -> Operation {
        match &self.call.wish {
            Wish::Lookup { key } => Operation::Lookup { key: key.clone() },
            Wish::Write { entries, repeat } => Operation::Write {
                entries: entries.clone(),
                recorded: *repeat == Repeat::Recorded,
            },
            Wish::Transaction { entries } => match self.step.checked_sub(1) {
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

    /// Whether the statement that comes next changes data by itself.
    pub(super) fn changes_data(&self) -> bool {
        self.operation().may_change_data()
    }

    pub(super) fn repeat(&self) -> Repeat {
        match &self.call.wish {
            Wish::Lookup { .. } => Repeat::Repeatable,
            Wish::Write { repeat, .. } => *repeat,
            Wish::Transaction { .. } => Repeat::Never,
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
