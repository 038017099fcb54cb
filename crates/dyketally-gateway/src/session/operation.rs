//! Operations of a session: runs single statements and the statements of transactions, from admission to
//! the log line.

use std::cell::Cell;
use std::rc::Rc;

use dyketally::budget::{Account, FREE_BYTES, STATE_COPIES};
use dyketally::group::LogPosition;
use dyketally::policy::Access;
use dyketally::statement::{FailureKind, TransactionState};
use tokio::time::Instant;

use super::admission::Admission;
use super::serving::Session;
use crate::context::Limit;
use crate::context::memory::Reservation;
use crate::decision::Reason;
use crate::decision::intake::MEMORY_WAIT;
use crate::ports::CallerStatement;
use crate::quota::QuotaExceeded;
use crate::statement::dispatch::Dispatches;
use crate::statement::ending::StatementOutcome;
use crate::statement::request::{Execution, Request, Response};
use crate::statement::transaction::Transaction;

/// Most bytes of a message for a database beside the id and the text of its statement.
const FRAMING_BYTES: usize = 64;
/// Most bytes that the position takes which a database's log must hold.
const POSITION_BYTES: usize = 64;

impl Session {
    /// Commits the open transaction.
    pub(super) async fn commit(
        &mut self,
        statement: CallerStatement,
    ) -> (Response, TransactionState) {
        let (Some(mut transaction), Some(admission)) =
            (self.transaction.take(), self.admission.clone())
        else {
            return (no_transaction(), TransactionState::Idle);
        };
        let key_is_valid = admission.is_valid(&self.sessions.cx);
        let request = self.request(statement, None, admission);
        if !key_is_valid {
            let response = self.roll_back_key_uncertain(&mut transaction, &request);
            return (response, TransactionState::Idle);
        }
        if let Err(response) = self.permit_transaction(&mut transaction, &request).await {
            return (response, TransactionState::Idle);
        }
        let answer = transaction
            .commit(&self.sessions.statements, &request)
            .await;
        if transaction.wrote && answer.response.end.is_ok() {
            self.record_commit(answer.response.position);
        }
        request.record_outcome(&self.sessions.statements, &answer.response, answer.reason);
        (answer.response, answer.state)
    }

    /// Runs a read or write, on its own or in the open transaction.
    pub(super) async fn run_statement(
        &mut self,
        statement: CallerStatement,
        access: Access,
        execution: Option<Execution>,
    ) -> (Response, TransactionState) {
        let state_copies = match self.reserve_state_copies(execution.as_ref()).await {
            Ok(state_copies) => state_copies,
            Err(refused) => return (refused, self.fail_transaction()),
        };
        if let (Some(admission), true) = (&self.admission, self.transaction.is_some()) {
            let key_is_valid = admission.is_valid(&self.sessions.cx);
            let mut request = self.request(statement, execution, admission.clone());
            request.state_copies = state_copies;
            return self.run_in_transaction(request, access, key_is_valid).await;
        }
        let admission = match self.admit() {
            Ok(admission) => admission,
            Err(refused) => return (refused, TransactionState::Idle),
        };
        let mut request = self.request(statement, execution, admission);
        request.state_copies = state_copies;
        let response = self.run_single(request, access).await;
        (response, TransactionState::Idle)
    }

    /// Reserves memory for the copies of the session's state that are sent along with a statement; nothing for a short
    /// state.
    async fn reserve_state_copies(
        &self,
        execution: Option<&Execution>,
    ) -> Result<Option<Reservation>, Response> {
        let prepared = execution.map(|execution| &execution.prepared);
        let bytes = self.variables.carried_bytes(prepared);
        if bytes <= FREE_BYTES {
            return Ok(None);
        }
        let cx = &self.sessions.cx;
        let copies = STATE_COPIES * bytes as u64;
        let reserving = cx.memory.reserve(Account::CarriedState, copies);
        match tokio::time::timeout(MEMORY_WAIT, reserving).await {
            Ok(reservation) => Ok(Some(reservation)),
            Err(_) => {
                cx.limit_acted(Limit::CarriedState, self.address);
                Err(Response::out_of_memory())
            }
        }
    }

    /// Marks the open transaction as failed; returns the state of the session.
    fn fail_transaction(&mut self) -> TransactionState {
        match &mut self.transaction {
            Some(transaction) => {
                transaction.failed = true;
                TransactionState::Failed
            }
            None => TransactionState::Idle,
        }
    }

    async fn run_in_transaction(
        &mut self,
        request: Request,
        access: Access,
        key_is_valid: bool,
    ) -> (Response, TransactionState) {
        let Some(mut transaction) = self.transaction.take() else {
            return (no_transaction(), TransactionState::Idle);
        };
        if !key_is_valid {
            let response = self.roll_back_key_uncertain(&mut transaction, &request);
            self.transaction = Some(transaction);
            return (response, TransactionState::Failed);
        }
        let permitted = self.permit_transaction(&mut transaction, &request).await;
        let transaction = self.transaction.insert(transaction);
        if let Err(response) = permitted {
            transaction.failed = true;
            return (response, TransactionState::Failed);
        }
        let answer = transaction
            .run(&self.sessions.statements, &request, access)
            .await;
        (answer.response, answer.state)
    }

    /// Rolls back a transaction whose API key may have been revoked without this node's knowledge.
    fn roll_back_key_uncertain(
        &self,
        transaction: &mut Transaction,
        request: &Request,
    ) -> Response {
        self.sessions.cx.counters.keys_uncertain.add();
        transaction.roll_back();
        transaction.failed = true;
        let response = Response::rolled_back();
        request.record_outcome(&self.sessions.statements, &response, Reason::KeyUncertain);
        response
    }

    async fn run_single(&mut self, request: Request, access: Access) -> Response {
        let request = Rc::new(request);
        let tenant = request.tenant.as_ref();
        let permit = match self
            .sessions
            .quotas
            .permit(tenant, request.latest_start())
            .await
        {
            Ok(permit) => permit,
            Err(exceeded) => {
                let response = over_quota(&exceeded);
                request.record_outcome(&self.sessions.statements, &response, Reason::OverQuota);
                return response;
            }
        };
        let StatementOutcome { response, reason } = match access {
            Access::Read => self.sessions.statements.serve_read(&request).await,
            Access::Write => self.sessions.statements.serve_write(&request).await,
        };
        if request.dispatches.proven_not_run().is_some() {
            permit.give_back();
        }
        if access == Access::Write && response.end.is_ok() {
            self.record_commit(response.position);
        }
        request.record_outcome(&self.sessions.statements, &response, reason);
        response
    }

    /// Obtains a permit for a transaction that has none yet, before any of its statements is sent.
    async fn permit_transaction(
        &self,
        transaction: &mut Transaction,
        request: &Request,
    ) -> Result<(), Response> {
        if transaction.permit.is_none() {
            let tenant = request.tenant.as_ref();
            let permit = self
                .sessions
                .quotas
                .permit(tenant, request.latest_start())
                .await;
            let permit = permit.map_err(|exceeded| {
                let response = over_quota(&exceeded);
                request.record_outcome(&self.sessions.statements, &response, Reason::OverQuota);
                response
            })?;
            transaction.permit = Some(permit);
        }
        Ok(())
    }

    /// Admits the next operation, or returns the error for the caller.
    pub(super) fn admit(&self) -> Result<Admission, Response> {
        Admission::of(&self.sessions.cx, &self.database, &self.key)
    }

    fn record_commit(&mut self, position: Option<LogPosition>) {
        self.own_commit = self.own_commit.max(position);
    }

    fn request(
        &self,
        statement: CallerStatement,
        execution: Option<Execution>,
        admission: Admission,
    ) -> Request {
        let Admission { route, tenant } = admission;
        let length = statement.id.len() + statement.text.len() + FRAMING_BYTES + POSITION_BYTES;
        Request {
            has_room_for_position: length <= self.sessions.protocol.longest_message(),
            id: statement.id,
            text: statement.text,
            execution,
            values: self.variables.values().clone(),
            memory: self.message_memory.clone(),
            state_copies: None,
            arrived: self.sessions.cx.now(),
            connected: self.connected,
            own_commit: self.own_commit,
            deadline: Instant::now() + route.statement_timeout,
            regions: route.regions_for(tenant.as_deref()),
            route,
            tenant,
            attempts: Cell::new(0),
            dispatches: Dispatches::default(),
        }
    }
}

fn over_quota(exceeded: &QuotaExceeded) -> Response {
    Response::over_quota(exceeded.retry_after)
}

fn no_transaction() -> Response {
    Response::failed(
        FailureKind::Malformed,
        "no transaction is open; begin one first",
    )
}
