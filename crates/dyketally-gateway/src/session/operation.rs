//! Operations of a session: single statements and the statements of transactions, from admission to the
//! log line.

use std::cell::Cell;
use std::rc::Rc;

use dyketally::group::LogPosition;
use dyketally::policy::Access;
use dyketally::statement::{FailureKind, TransactionState};
use tokio::time::Instant;

use super::admission::Admission;
use super::serving::Session;
use crate::decision::Reason;
use crate::ports::CallerStatement;
use crate::quota::QuotaExceeded;
use crate::statement::dispatch::Dispatches;
use crate::statement::ending::Decided;
use crate::statement::request::{Execution, Request, Served};
use crate::statement::transaction::Transaction;

impl Session {
    /// Ends the transaction and keeps its writes.
    pub(super) async fn commit(
        &mut self,
        statement: CallerStatement,
    ) -> (Served, TransactionState) {
        let (Some(mut transaction), Some(admission)) =
            (self.transaction.take(), self.admission.clone())
        else {
            return (no_transaction(), TransactionState::Idle);
        };
        let holds = admission.holds(&self.sessions.cx);
        let request = self.request(statement, None, admission);
        if !holds {
            let served = self.give_up_uncertain(&mut transaction, &request);
            return (served, TransactionState::Idle);
        }
        if let Err(served) = self.permit_transaction(&mut transaction, &request).await {
            return (served, TransactionState::Idle);
        }
        let answer = transaction
            .commit(&self.sessions.statements, &request)
            .await;
        if transaction.wrote && answer.served.end.is_ok() {
            self.note_commit(answer.served.position);
        }
        request.log(&self.sessions.statements, &answer.served, answer.reason);
        (answer.served, answer.state)
    }

    /// Runs a read or write, on its own or in the transaction that is open.
    pub(super) async fn run_statement(
        &mut self,
        statement: CallerStatement,
        access: Access,
        execution: Option<Execution>,
    ) -> (Served, TransactionState) {
        if let (Some(admission), true) = (&self.admission, self.transaction.is_some()) {
            let holds = admission.holds(&self.sessions.cx);
            let request = self.request(statement, execution, admission.clone());
            return self.run_in_transaction(request, access, holds).await;
        }
        let admission = match self.admit() {
            Ok(admission) => admission,
            Err(refused) => return (refused, TransactionState::Idle),
        };
        let request = self.request(statement, execution, admission);
        let served = self.run_single(request, access).await;
        (served, TransactionState::Idle)
    }

    async fn run_in_transaction(
        &mut self,
        request: Request,
        access: Access,
        key_holds: bool,
    ) -> (Served, TransactionState) {
        let Some(mut transaction) = self.transaction.take() else {
            return (no_transaction(), TransactionState::Idle);
        };
        if !key_holds {
            let served = self.give_up_uncertain(&mut transaction, &request);
            self.transaction = Some(transaction);
            return (served, TransactionState::Failed);
        }
        let permitted = self.permit_transaction(&mut transaction, &request).await;
        let transaction = self.transaction.insert(transaction);
        if let Err(served) = permitted {
            transaction.failed = true;
            return (served, TransactionState::Failed);
        }
        let answer = transaction
            .run(&self.sessions.statements, &request, access)
            .await;
        (answer.served, answer.state)
    }

    /// Rolls back a transaction whose key may have been taken away unnoticed.
    fn give_up_uncertain(&self, transaction: &mut Transaction, request: &Request) -> Served {
        self.sessions.cx.counters.keys_uncertain.add();
        transaction.roll_back();
        transaction.failed = true;
        let served = Served::rolled_back();
        request.log(&self.sessions.statements, &served, Reason::KeyUncertain);
        served
    }

    async fn run_single(&mut self, request: Request, access: Access) -> Served {
        let request = Rc::new(request);
        let tenant = request.tenant.as_ref();
        let permit = match self.sessions.quotas.permit(tenant, request.give_up()).await {
            Ok(permit) => permit,
            Err(exceeded) => {
                let served = over_quota(&exceeded);
                request.log(&self.sessions.statements, &served, Reason::OverQuota);
                return served;
            }
        };
        let Decided { served, reason } = match access {
            Access::Read => self.sessions.statements.serve_read(&request).await,
            Access::Write => self.sessions.statements.serve_write(&request).await,
        };
        if request.dispatches.proven_not_run().is_some() {
            permit.give_back();
        }
        if access == Access::Write && served.end.is_ok() {
            self.note_commit(served.position);
        }
        request.log(&self.sessions.statements, &served, reason);
        served
    }

    /// Obtains a permit for a transaction that has none yet, before anything of it is sent.
    async fn permit_transaction(
        &self,
        transaction: &mut Transaction,
        request: &Request,
    ) -> Result<(), Served> {
        if transaction.permit.is_none() {
            let tenant = request.tenant.as_ref();
            let permit = self.sessions.quotas.permit(tenant, request.give_up()).await;
            let permit = permit.map_err(|exceeded| {
                let served = over_quota(&exceeded);
                request.log(&self.sessions.statements, &served, Reason::OverQuota);
                served
            })?;
            transaction.permit = Some(permit);
        }
        Ok(())
    }

    /// What the next operation may use; or what the caller is told instead.
    pub(super) fn admit(&self) -> Result<Admission, Served> {
        Admission::of(&self.sessions.cx, &self.database, &self.key)
    }

    fn note_commit(&mut self, position: Option<LogPosition>) {
        self.own_commit = self.own_commit.max(position);
    }

    fn request(
        &self,
        statement: CallerStatement,
        execution: Option<Execution>,
        admission: Admission,
    ) -> Request {
        let Admission { route, tenant } = admission;
        Request {
            id: statement.id,
            text: statement.text,
            execution,
            values: self.values.clone(),
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

fn over_quota(exceeded: &QuotaExceeded) -> Served {
    Served::over_quota(exceeded.retry_after)
}

fn no_transaction() -> Served {
    Served::failed(
        FailureKind::Malformed,
        "no transaction is open; begin one first",
    )
}
