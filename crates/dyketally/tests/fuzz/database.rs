//! One member of a group. Replication is asynchronous, a member denies its vote to a candidate whose log is behind its
//! own, and a primary remains primary until it receives a higher term.

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::group::{LogPosition, MemberStatus, Role, Term};
use dyketally::history::{
    Entry, Event, Key, LookupAnswer, Statement as RecordedStatement, TransactionEnd,
    TransactionName,
};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;

use crate::environment::{
    ConnectionId, Environment, MEMBERS, Place, ScheduledEvent, Side, database_place,
};
use crate::messages::{LabelledStatement, LedgerAnswer, Payload, Replicate, Reply, Statement};

/// Connections that a database accepts; status lines and resolvers' connections don't count.
const CONNECTION_LIMIT: usize = 5;
const ELECTION_TIMEOUT: Duration = Duration::from_millis(30);
/// Interval of a database's ticks, in microseconds.
pub const TICK: u64 = 5_000;

#[derive(Clone, Debug, PartialEq)]
pub struct LogEntry {
    pub term: Term,
    pub entries: Vec<Entry>,
    /// The ledger entry (key and value) that was written in the same transaction.
    pub ledger: Option<(u64, LedgerAnswer)>,
}

struct Transaction {
    entries: Vec<Entry>,
    aborted: bool,
}

#[derive(Default)]
struct Connection {
    /// Whether the connection counts against the limit.
    counted: bool,
    transaction: Option<Transaction>,
}

pub struct Database {
    pub member: usize,
    pub place: Place,
    pub role: Role,
    pub term: Term,
    pub log: Vec<LogEntry>,
    pub leaving: bool,
    /// Extra delay of replication from the primary to this member, in microseconds.
    pub lag: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    /// When the member last received the primary's log, voted for a candidate, restarted or started an election.
    last_contact: Timestamp,
}

pub fn member_name(member: usize) -> DatabaseName {
    DatabaseName::new(["a", "b", "c"][member])
}

pub fn member_of(name: &DatabaseName) -> usize {
    (0..MEMBERS)
        .find(|member| &member_name(*member) == name)
        .expect("a member of the group")
}

impl Database {
    pub fn new(member: usize) -> Self {
        let first = LogEntry {
            term: Term(1),
            entries: Vec::new(),
            ledger: None,
        };
        Database {
            member,
            place: database_place(member),
            role: if member == 0 {
                Role::Primary
            } else {
                Role::Replica
            },
            term: Term(1),
            log: vec![first],
            leaving: false,
            lag: 0,
            connections: BTreeMap::new(),
            last_contact: Timestamp::ZERO,
        }
    }

    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role,
            term: self.term,
            log: LogPosition {
                term: self.last_term(),
                offset: self.log.len() as u64,
            },
        }
    }

    fn last_term(&self) -> Term {
        self.log.last().map(|entry| entry.term).unwrap_or_default()
    }

    pub fn restarted(&mut self, now: Timestamp) {
        self.role = Role::Replica;
        self.connections.clear();
        self.last_contact = now;
    }

    pub fn wants_election(&self, now: Timestamp) -> bool {
        let stagger = Duration::from_millis(12 * self.member as u64);
        self.role == Role::Replica
            && !self.leaving
            && now.saturating_since(self.last_contact) > ELECTION_TIMEOUT + stagger
    }

    pub fn retry_election_later(&mut self, now: Timestamp) {
        self.last_contact = now;
    }

    /// Handles a request for a vote in `term`; returns whether the vote is granted to a candidate whose log ends at
    /// `candidate`.
    pub fn vote(&mut self, term: Term, candidate: LogPosition, now: Timestamp) -> bool {
        if term <= self.term {
            return false;
        }
        self.enter(term);
        let granted = candidate >= self.status().log;
        if granted {
            self.last_contact = now;
        }
        granted
    }

    pub fn lead(&mut self, term: Term) {
        self.term = term;
        self.role = Role::Primary;
        self.append(Vec::new(), None);
    }

    /// Becomes a replica in `term` and aborts open transactions. A member in a higher term stays in that term.
    pub fn enter(&mut self, term: Term) {
        self.term = self.term.max(term);
        self.role = Role::Replica;
        for connection in self.connections.values_mut() {
            if let Some(transaction) = &mut connection.transaction {
                transaction.aborted = true;
            }
        }
    }

    pub fn follow(&mut self, message: Replicate, now: Timestamp) {
        if message.term < self.term {
            return;
        }
        if message.term > self.term {
            self.enter(message.term);
        }
        self.last_contact = now;
        if !self.log.starts_with(&message.log) {
            self.log = message.log;
        }
    }

    pub fn replicate(&self, environment: &mut Environment, lags: [u64; MEMBERS]) {
        if self.role != Role::Primary {
            return;
        }
        for member in (0..MEMBERS).filter(|member| *member != self.member) {
            let (from, to) = (self.place, database_place(member));
            let message = Box::new(Replicate {
                term: self.term,
                log: self.log.clone(),
            });
            let delay = environment.latency(from, to) + lags[member];
            environment.after(delay, ScheduledEvent::Replicate { from, to, message });
        }
    }

    pub fn handle(&mut self, environment: &mut Environment, id: ConnectionId, payload: Payload) {
        match payload {
            Payload::Open => self.open(environment, id),
            Payload::Run(labelled) => {
                let reply = self.run(environment, id, &labelled);
                environment.send(id, Side::Server, Payload::Ran(reply));
            }
            Payload::Closed => {
                self.connections.remove(&id);
                let database = member_name(self.member);
                environment.record(Event::ConnectionClosed {
                    database,
                    connection: id.0,
                });
            }
            other => panic!("a database doesn't handle {other:?}"),
        }
    }

    fn open(&mut self, environment: &mut Environment, id: ConnectionId) {
        let counted = self
            .connections
            .values()
            .filter(|known| known.counted)
            .count();
        if self.leaving || counted >= CONNECTION_LIMIT {
            let leaving = self.leaving;
            environment.send(id, Side::Server, Payload::Refused { leaving });
            return;
        }
        let counted = true;
        let transaction = None;
        self.connections.insert(
            id,
            Connection {
                counted,
                transaction,
            },
        );
        environment.send(id, Side::Server, Payload::Opened);
    }

    fn run(
        &mut self,
        environment: &mut Environment,
        id: ConnectionId,
        labelled: &LabelledStatement,
    ) -> Reply {
        let (reply, end) = self.carry_out(id, &labelled.statement);
        if !matches!(labelled.statement, Statement::Status) {
            environment.record(Event::Statement(RecordedStatement {
                database: member_name(self.member),
                connection: id.0,
                transaction: TransactionName(labelled.transaction_name.clone()),
                write: labelled.write,
                end,
                at: environment.world_time(),
            }));
        }
        reply
    }

    fn carry_out(
        &mut self,
        id: ConnectionId,
        statement: &Statement,
    ) -> (Reply, Option<TransactionEnd>) {
        const COMMITTED: Option<TransactionEnd> = Some(TransactionEnd::Committed);
        const ROLLED_BACK: Option<TransactionEnd> = Some(TransactionEnd::RolledBack);
        let leads = self.role == Role::Primary;
        match statement {
            Statement::Status => (Reply::Status(self.status()), None),
            Statement::Lookup { key } => (Reply::Lookup(self.look_up(key)), ROLLED_BACK),
            Statement::Write { .. } | Statement::Bar { .. } | Statement::Begin if !leads => {
                (Reply::ReadOnly, ROLLED_BACK)
            }
            Statement::Write {
                entries,
                ledger_key,
            } => {
                if ledger_key.is_some_and(|key| self.ledger(key).is_some()) {
                    return (Reply::RolledBack, ROLLED_BACK);
                }
                let ledger = ledger_key.map(|key| (key, LedgerAnswer::Committed));
                self.append(entries.clone(), ledger);
                (Reply::Applied, COMMITTED)
            }
            Statement::Bar { write } => {
                let known = self.ledger(*write);
                if known.is_none() {
                    self.append(Vec::new(), Some((*write, LedgerAnswer::Barred)));
                }
                (
                    Reply::Ledger(known.unwrap_or(LedgerAnswer::Barred)),
                    ROLLED_BACK,
                )
            }
            Statement::ReadLedger { write } => {
                let answer = self.ledger(*write).unwrap_or(LedgerAnswer::Barred);
                (Reply::Ledger(answer), ROLLED_BACK)
            }
            Statement::Begin => {
                let transaction = Transaction {
                    entries: Vec::new(),
                    aborted: false,
                };
                self.connections.entry(id).or_default().transaction = Some(transaction);
                (Reply::Begun, None)
            }
            Statement::Add { entry } => match self.open_transaction(id) {
                Some(transaction) => {
                    transaction.entries.push(entry.clone());
                    (Reply::Added, None)
                }
                None => (Reply::RolledBack, ROLLED_BACK),
            },
            Statement::Commit => {
                let entries = self
                    .open_transaction(id)
                    .map(|open| std::mem::take(&mut open.entries));
                self.connections.entry(id).or_default().transaction = None;
                let Some(entries) = entries else {
                    return (Reply::RolledBack, ROLLED_BACK);
                };
                self.append(entries, None);
                (Reply::Applied, COMMITTED)
            }
        }
    }

    fn open_transaction(&mut self, id: ConnectionId) -> Option<&mut Transaction> {
        let connection = self.connections.get_mut(&id)?;
        let transaction = connection.transaction.as_mut();
        transaction.filter(|transaction| !transaction.aborted)
    }

    fn append(&mut self, entries: Vec<Entry>, ledger: Option<(u64, LedgerAnswer)>) {
        let term = self.term;
        self.log.push(LogEntry {
            term,
            entries,
            ledger,
        });
    }

    fn ledger(&self, write: u64) -> Option<LedgerAnswer> {
        let mut entries = self.log.iter().filter_map(|logged| logged.ledger);
        let found = entries.find(|(key, _)| *key == write);
        found.map(|(_, answer)| answer)
    }

    fn look_up(&self, key: &Key) -> LookupAnswer {
        let mut entries = self.log.iter().flat_map(|logged| &logged.entries);
        let found = entries.find(|entry| &entry.key == key);
        found.map_or(LookupAnswer::Absent, |entry| {
            LookupAnswer::Found(entry.value.clone())
        })
    }
}
