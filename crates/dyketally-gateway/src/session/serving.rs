//! One session from connect to close: messages in their order, and what it keeps between them.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use bytes::Bytes;
use dyketally::group::LogPosition;
use dyketally::policy::Access;
use dyketally::statement::{FailureKind, PreparedStatement, StatementKind, TransactionState};
use dyketally::tenant::ApiKey;
use dyketally::time::Timestamp;

use super::Sessions;
use super::admission::Admission;
use super::caller::{Caller, Next};
use crate::context::StopPhase;
use crate::ports::{CallerMessage, CallerStatement};
use crate::statement::request::{Execution, Served};
use crate::statement::transaction::Transaction;

/// What signs a statement that the gateway answers itself.
const OWN_SIGNATURE: &[u8] = b"-";

/// A caller's session.
pub(super) struct Session {
    pub(super) sessions: Rc<Sessions>,
    pub(super) database: String,
    pub(super) key: ApiKey,
    pub(super) connected: Timestamp,
    pub(super) values: BTreeMap<String, String>,
    pub(super) prepared: HashMap<String, PreparedStatement>,
    pub(super) transaction: Option<Transaction>,
    /// Of the transaction that is open.
    pub(super) admission: Option<Admission>,
    pub(super) own_commit: Option<LogPosition>,
}

impl Session {
    /// A session that was just connected.
    pub(super) fn new(sessions: &Rc<Sessions>, database: String, key: ApiKey) -> Self {
        Self {
            sessions: sessions.clone(),
            database,
            key,
            connected: sessions.cx.now(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            transaction: None,
            admission: None,
            own_commit: None,
        }
    }

    /// Serves its statements one after the other, until the caller leaves or the process stops.
    pub(super) async fn run(&mut self, caller: &mut Caller) {
        loop {
            match self.next(caller).await {
                Next::Message(CallerMessage::Statement(statement)) => {
                    let (served, state) = self.serve(statement).await;
                    if caller.answer(served, state).await.is_none() {
                        return;
                    }
                }
                Next::TransactionRested => self.end_rested_transaction(),
                Next::Garbage(reason) => {
                    let served = Served::failed(FailureKind::Malformed, &reason);
                    caller.refuse(served).await;
                    return;
                }
                Next::Message(_) | Next::Closed | Next::Stop => return,
            }
        }
    }

    async fn next(&self, caller: &mut Caller) -> Next {
        let rest_limit = match self.open_transaction() {
            true => self.sessions.cx.routes().transaction_idle,
            false => None,
        };
        let rested = async {
            match rest_limit {
                Some(limit) => tokio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            next = caller.next_message() => next,
            () = rested => Next::TransactionRested,
            () = self.must_stop() => Next::Stop,
        }
    }

    fn open_transaction(&self) -> bool {
        let transaction = self.transaction.as_ref();
        transaction.is_some_and(|transaction| !transaction.failed)
    }

    /// Waits until a planned stop asks this session to end: between operations as soon as
    /// callers have other nodes to go to, later within a transaction.
    async fn must_stop(&self) {
        let phase = match self.transaction.is_some() {
            true => StopPhase::EndingTransactions,
            false => StopPhase::ClosingSessions,
        };
        self.sessions.cx.stop.entered(phase).await;
    }

    fn end_rested_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.roll_back();
            transaction.failed = true;
        }
    }

    async fn serve(&mut self, statement: CallerStatement) -> (Served, TransactionState) {
        let failed = self.transaction.as_ref().is_some_and(|open| open.failed);
        let ends = matches!(
            statement.kind,
            StatementKind::Commit | StatementKind::Rollback
        );
        if failed && !ends {
            let served = Served::failed(
                FailureKind::Malformed,
                "the transaction has failed; roll it back",
            );
            return (served, TransactionState::Failed);
        }
        match statement.kind.clone() {
            StatementKind::Begin { read_only } => self.begin(read_only),
            StatementKind::Commit => self.commit(statement).await,
            StatementKind::Rollback => self.roll_back(),
            StatementKind::Read => self.run_statement(statement, Access::Read, None).await,
            StatementKind::Write => self.run_statement(statement, Access::Write, None).await,
            StatementKind::Set { name, value } => {
                self.values.insert(name, value);
                if let Some(transaction) = &mut self.transaction {
                    transaction.set_values = true;
                }
                (own_success(), self.state())
            }
            StatementKind::Prepare { name, prepared } => {
                self.prepared.insert(name, prepared);
                (own_success(), self.state())
            }
            StatementKind::Deallocate { name } => {
                self.prepared.remove(&name);
                (own_success(), self.state())
            }
            StatementKind::Execute { name, arguments } => {
                let Some(prepared) = self.prepared.get(&name).cloned() else {
                    let served = Served::failed(
                        FailureKind::UnknownPrepared,
                        "no statement is prepared under this name; prepare it first",
                    );
                    return (served, self.state());
                };
                let access = prepared.access;
                let execution = Execution {
                    prepared,
                    arguments,
                };
                self.run_statement(statement, access, Some(execution)).await
            }
        }
    }

    fn state(&self) -> TransactionState {
        match &self.transaction {
            None => TransactionState::Idle,
            Some(transaction) if transaction.failed => TransactionState::Failed,
            Some(_) => TransactionState::Open,
        }
    }

    fn begin(&mut self, read_only: bool) -> (Served, TransactionState) {
        if self.transaction.is_some() {
            let served = Served::failed(
                FailureKind::Malformed,
                "a transaction is open already; end it first",
            );
            return (served, self.state());
        }
        match self.admit() {
            Ok(admission) => self.admission = Some(admission),
            Err(refused) => return (refused, TransactionState::Idle),
        }
        self.transaction = Some(Transaction::new(read_only, self.sessions.cx.now()));
        (own_success(), TransactionState::Open)
    }

    fn roll_back(&mut self) -> (Served, TransactionState) {
        if let Some(mut transaction) = self.transaction.take() {
            transaction.roll_back();
        }
        (own_success(), TransactionState::Idle)
    }
}

fn own_success() -> Served {
    Served {
        rows: Vec::new(),
        end: Ok(Bytes::from_static(OWN_SIGNATURE)),
        position: None,
    }
}
