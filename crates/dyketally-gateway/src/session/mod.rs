//! A caller's session: its values, prepared statements and transaction, from connect to close.

mod admission;
mod caller;
mod sessions;

use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dyketally::capacity::SessionVerdict;
use dyketally::group::LogPosition;
use dyketally::policy::Access;
use dyketally::statement::{FailureKind, PreparedStatement, StatementKind, TransactionState};
use dyketally::tenant::ApiKey;
use dyketally::time::Timestamp;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use self::admission::Admission;
use self::caller::{Caller, Next};
use self::sessions::OpenSession;
pub use self::sessions::Sessions;
use crate::context::{StopPhase, accept};
use crate::database::connection::prepare_socket;
use crate::decision::Reason;
use crate::gateway::Gateway;
use crate::ports::{CallerMessage, CallerStatement};
use crate::quota::QuotaExceeded;
use crate::statement::dispatch::Dispatches;
use crate::statement::ending::Decided;
use crate::statement::request::{Execution, Request, Served};
use crate::statement::transaction::Transaction;

/// Pause before a caller is accepted after a failure: shorter than for other listeners, since callers wait;
/// not measured.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// What signs a statement that the gateway answers itself.
const OWN_SIGNATURE: &[u8] = b"-";

/// Serves callers until the task is aborted.
pub async fn serve_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = accept(&listener, ACCEPT_PAUSE).await;
        admit(&gateway, stream);
    }
}

/// Serves a connection that a caller opened, or refuses it where there is no room.
fn admit(gateway: &Rc<Gateway>, stream: TcpStream) {
    let verdict = gateway.sessions.judge();
    if verdict != SessionVerdict::Serve {
        gateway.cx.counters.sessions_refused.add();
    }
    if verdict == SessionVerdict::Close {
        return;
    }
    let open = OpenSession::begin(gateway);
    let gateway = gateway.clone();
    tokio::task::spawn_local(async move {
        match verdict {
            SessionVerdict::Serve => serve(gateway, stream, open).await,
            SessionVerdict::Refuse | SessionVerdict::Close => refuse(gateway, stream, open).await,
        }
    });
}

/// Serves one caller until it leaves or the process stops.
async fn serve(gateway: Rc<Gateway>, stream: TcpStream, _open: OpenSession) {
    prepare_socket(&stream);
    gateway.cx.counters.sessions.add();
    let mut caller = Caller::new(gateway.clone(), stream);
    if let Some(mut session) = caller.introduce().await {
        session.run(&mut caller).await;
    }
}

/// Tells a caller that this node has no room for it.
async fn refuse(gateway: Rc<Gateway>, stream: TcpStream, _open: OpenSession) {
    prepare_socket(&stream);
    let mut caller = Caller::new(gateway, stream);
    caller.refuse_introduction().await;
}

struct Session {
    gateway: Rc<Gateway>,
    database: String,
    key: ApiKey,
    connected: Timestamp,
    values: BTreeMap<String, String>,
    prepared: HashMap<String, PreparedStatement>,
    transaction: Option<Transaction>,
    /// Of the transaction that is open.
    admission: Option<Admission>,
    own_commit: Option<LogPosition>,
}

impl Session {
    fn new(gateway: &Rc<Gateway>, database: String, key: ApiKey) -> Self {
        Self {
            gateway: gateway.clone(),
            database,
            key,
            connected: gateway.cx.now(),
            values: BTreeMap::new(),
            prepared: HashMap::new(),
            transaction: None,
            admission: None,
            own_commit: None,
        }
    }

    async fn run(&mut self, caller: &mut Caller) {
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
            true => self.gateway.cx.routes().transaction_idle,
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
        self.gateway.cx.stop.entered(phase).await;
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
        self.transaction = Some(Transaction::new(read_only, self.gateway.cx.now()));
        (own_success(), TransactionState::Open)
    }

    fn roll_back(&mut self) -> (Served, TransactionState) {
        if let Some(mut transaction) = self.transaction.take() {
            transaction.roll_back();
        }
        (own_success(), TransactionState::Idle)
    }

    async fn commit(&mut self, statement: CallerStatement) -> (Served, TransactionState) {
        let (Some(mut transaction), Some(admission)) =
            (self.transaction.take(), self.admission.clone())
        else {
            return (no_transaction(), TransactionState::Idle);
        };
        let holds = admission.holds(&self.gateway);
        let request = self.request(statement, None, admission);
        if !holds {
            let served = self.give_up_uncertain(&mut transaction, &request);
            return (served, TransactionState::Idle);
        }
        if let Err(served) = self.permit_transaction(&mut transaction, &request).await {
            return (served, TransactionState::Idle);
        }
        let answer = transaction.commit(&self.gateway, &request).await;
        if transaction.wrote && answer.served.end.is_ok() {
            self.note_commit(answer.served.position);
        }
        request.log(&self.gateway, &answer.served, answer.reason);
        (answer.served, answer.state)
    }

    async fn run_statement(
        &mut self,
        statement: CallerStatement,
        access: Access,
        execution: Option<Execution>,
    ) -> (Served, TransactionState) {
        if let (Some(admission), true) = (&self.admission, self.transaction.is_some()) {
            let holds = admission.holds(&self.gateway);
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
        let answer = transaction.run(&self.gateway, &request, access).await;
        (answer.served, answer.state)
    }

    /// Rolls back a transaction whose key may have been taken away unnoticed.
    fn give_up_uncertain(&self, transaction: &mut Transaction, request: &Request) -> Served {
        self.gateway.cx.counters.keys_uncertain.add();
        transaction.roll_back();
        transaction.failed = true;
        let served = Served::rolled_back();
        request.log(&self.gateway, &served, Reason::KeyUncertain);
        served
    }

    async fn run_single(&mut self, request: Request, access: Access) -> Served {
        let request = Rc::new(request);
        let tenant = request.tenant.as_ref();
        let permit = match self.gateway.quotas.permit(tenant, request.give_up()).await {
            Ok(permit) => permit,
            Err(exceeded) => {
                let served = over_quota(&exceeded);
                request.log(&self.gateway, &served, Reason::OverQuota);
                return served;
            }
        };
        let Decided { served, reason } = match access {
            Access::Read => self.gateway.serve_read(&request).await,
            Access::Write => self.gateway.serve_write(&request).await,
        };
        if request.dispatches.proven_not_run().is_some() {
            permit.give_back();
        }
        if access == Access::Write && served.end.is_ok() {
            self.note_commit(served.position);
        }
        request.log(&self.gateway, &served, reason);
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
            let permit = self.gateway.quotas.permit(tenant, request.give_up()).await;
            let permit = permit.map_err(|exceeded| {
                let served = over_quota(&exceeded);
                request.log(&self.gateway, &served, Reason::OverQuota);
                served
            })?;
            transaction.permit = Some(permit);
        }
        Ok(())
    }

    /// What the next operation may use; or what the caller is told instead.
    fn admit(&self) -> Result<Admission, Served> {
        Admission::of(&self.gateway, &self.database, &self.key)
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
            arrived: self.gateway.cx.now(),
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

fn own_success() -> Served {
    Served {
        rows: Vec::new(),
        end: Ok(Bytes::from_static(OWN_SIGNATURE)),
        position: None,
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
