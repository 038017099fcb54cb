//! A session from connect to close: serves its messages in order and keeps its state in between.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use dyketally::group::LogPosition;
use dyketally::policy::Access;
use dyketally::statement::{FailureKind, StatementKind, TransactionState};
use dyketally::tenant::ApiKey;
use dyketally::time::Timestamp;

use super::Sessions;
use super::admission::Admission;
use super::caller::{Caller, SessionEvent};
use super::intake::Patience;
use super::load::OpenSession;
use super::variables::{StateLimit, Variables};
use crate::context::memory::Reservation;
use crate::context::{Limit, StopPhase};
use crate::decision::make_room::Stillness;
use crate::ports::{CallerMessage, CallerStatement};
use crate::statement::request::{Execution, Response};
use crate::statement::transaction::Transaction;

/// Signature of the answer to a statement that the gateway answers itself.
const OWN_SIGNATURE: &[u8] = b"-";

/// A caller's session.
pub(super) struct Session {
    pub(super) sessions: Rc<Sessions>,
    /// The caller's address; `None` if its connection broke at once.
    pub(super) address: Option<SocketAddr>,
    pub(super) database: String,
    pub(super) key: ApiKey,
    pub(super) connected: Timestamp,
    pub(super) variables: Variables,
    /// Memory of the message that is being served, beyond the free bytes. Attempts that outlast it share it.
    pub(super) message_memory: Option<Rc<Reservation>>,
    pub(super) transaction: Option<Transaction>,
    /// Admission of the open transaction.
    pub(super) admission: Option<Admission>,
    pub(super) own_commit: Option<LogPosition>,
}

impl Session {
    /// A session that was just connected.
    ///
    /// # Errors
    /// There is no memory for its key.
    pub(super) fn new(
        sessions: &Rc<Sessions>,
        address: Option<SocketAddr>,
        database: String,
        key: ApiKey,
    ) -> Result<Self, StateLimit> {
        let opening_bytes = database.len() + key.length();
        let variables = Variables::of_session(opening_bytes, &sessions.cx.memory)?;
        Ok(Self {
            sessions: sessions.clone(),
            address,
            database,
            key,
            connected: sessions.cx.now(),
            variables,
            message_memory: None,
            transaction: None,
            admission: None,
            own_commit: None,
        })
    }

    /// Serves the session's statements one after the other, until the caller disconnects or the process stops.
    pub(super) async fn run(&mut self, caller: &mut Caller, open: &mut OpenSession) {
        let mut stillness = Stillness::Silent;
        let mut was_sent_ahead = false;
        loop {
            if self.transaction.is_none() {
                open.set_still(stillness);
            }
            let event = self.next_event(caller).await;
            open.set_busy();
            match event {
                SessionEvent::Message(CallerMessage::Statement(statement), memory) => {
                    self.message_memory = memory.map(Rc::new);
                    let (response, state) = match was_sent_ahead {
                        true => self.serve_sent_ahead(statement).await,
                        false => self.serve(statement).await,
                    };
                    was_sent_ahead = caller.has_sent_ahead();
                    if caller.answer(response, state).await.is_none() {
                        return;
                    }
                    self.message_memory = None;
                    stillness = Stillness::Idle;
                }
                SessionEvent::TransactionIdle => self.roll_back_idle_transaction(),
                SessionEvent::InputRejected(response) => {
                    caller.refuse(response).await;
                    return;
                }
                SessionEvent::Message(..) | SessionEvent::Closed | SessionEvent::Stop => return,
            }
        }
    }

    /// Serves a statement that was sent ahead, once a seat is free. A statement of an open transaction needs no seat,
    /// since the transaction keeps others waiting.
    async fn serve_sent_ahead(
        &mut self,
        statement: CallerStatement,
    ) -> (Response, TransactionState) {
        if self.transaction.is_some() {
            return self.serve(statement).await;
        }
        let sessions = self.sessions.clone();
        let seats = &sessions.sent_ahead;
        let seat = match seats.try_acquire() {
            Ok(seat) => Ok(seat),
            Err(_) => {
                sessions.cx.limit_acted(Limit::SentAhead, self.address);
                seats.acquire().await
            }
        };
        let served = self.serve(statement).await;
        drop(seat);
        served
    }

    async fn next_event(&self, caller: &mut Caller) -> SessionEvent {
        let idle_limit = match self.has_active_transaction() {
            true => self.sessions.cx.routes().transaction_idle,
            false => None,
        };
        let idle = async {
            match idle_limit {
                Some(limit) => tokio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            event = caller.next_message(Patience::Session) => event,
            () = idle => SessionEvent::TransactionIdle,
            () = self.stop_requested() => SessionEvent::Stop,
        }
    }

    fn has_active_transaction(&self) -> bool {
        let transaction = self.transaction.as_ref();
        transaction.is_some_and(|transaction| !transaction.failed)
    }

    /// Waits until a planned stop requires this session to end: between operations as soon as callers have
    /// other nodes to connect to, within a transaction later.
    async fn stop_requested(&self) {
        let phase = match self.transaction.is_some() {
            true => StopPhase::EndingTransactions,
            false => StopPhase::ClosingSessions,
        };
        self.sessions.cx.stop.wait_for_phase(phase).await;
    }

    fn roll_back_idle_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.roll_back();
            transaction.failed = true;
        }
    }

    async fn serve(&mut self, statement: CallerStatement) -> (Response, TransactionState) {
        let failed = self.transaction.as_ref().is_some_and(|open| open.failed);
        let ends = matches!(
            statement.kind,
            StatementKind::Commit | StatementKind::Rollback
        );
        if failed && !ends {
            let response = Response::failed(
                FailureKind::Malformed,
                "the transaction has failed; roll it back",
            );
            return (response, TransactionState::Failed);
        }
        match statement.kind.clone() {
            StatementKind::Begin { read_only } => self.begin(read_only),
            StatementKind::Commit => self.commit(statement).await,
            StatementKind::Rollback => self.roll_back(),
            StatementKind::Read => self.run_statement(statement, Access::Read, None).await,
            StatementKind::Write => self.run_statement(statement, Access::Write, None).await,
            StatementKind::Set { name, value } => {
                let set = self.variables.set(&self.sessions.cx.memory, name, value);
                if let (Ok(()), Some(transaction)) = (&set, &mut self.transaction) {
                    transaction.set_values = true;
                }
                (self.state_change(set), self.state())
            }
            StatementKind::Prepare { name, prepared } => {
                let memory = &self.sessions.cx.memory;
                let prepared = self.variables.prepare(memory, name, prepared);
                (self.state_change(prepared), self.state())
            }
            StatementKind::Deallocate { name } => {
                self.variables.deallocate(&name);
                (own_success(), self.state())
            }
            StatementKind::Execute { name, arguments } => {
                let Some(prepared) = self.variables.prepared(&name).cloned() else {
                    let response = Response::failed(
                        FailureKind::UnknownPrepared,
                        "no statement is prepared under this name; prepare it first",
                    );
                    return (response, self.state());
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

    /// The answer to a statement that changes the session's state.
    fn state_change(&self, changed: Result<(), StateLimit>) -> Response {
        match changed {
            Ok(()) => own_success(),
            Err(limit) => {
                self.sessions
                    .cx
                    .limit_acted(Limit::SessionState, self.address);
                Response::failed(FailureKind::Overloaded, &limit.to_string())
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

    fn begin(&mut self, read_only: bool) -> (Response, TransactionState) {
        if self.transaction.is_some() {
            let response = Response::failed(
                FailureKind::Malformed,
                "a transaction is open already; end it first",
            );
            return (response, self.state());
        }
        match self.admit() {
            Ok(admission) => self.admission = Some(admission),
            Err(refused) => return (refused, TransactionState::Idle),
        }
        self.transaction = Some(Transaction::new(read_only, self.sessions.cx.now()));
        (own_success(), TransactionState::Open)
    }

    fn roll_back(&mut self) -> (Response, TransactionState) {
        if let Some(mut transaction) = self.transaction.take() {
            transaction.roll_back();
        }
        (own_success(), TransactionState::Idle)
    }
}

fn own_success() -> Response {
    Response {
        rows: Vec::new(),
        end: Ok(Bytes::from_static(OWN_SIGNATURE)),
        position: None,
    }
}
