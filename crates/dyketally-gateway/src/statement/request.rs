//! One statement of a session with all that is needed to serve it: its deadline, its patience, what it has
//! to see. Asks for the permission to send it, and writes its line of the log.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dyketally::eligibility::{Intent, ServingRegions};
use dyketally::freshness::FreshnessNeed;
use dyketally::group::LogPosition;
use dyketally::route_policy::RoutePolicy;
use dyketally::statement::{Failure, FailureKind, PreparedStatement};
use dyketally::tenant::Tenant;
use dyketally::time::Timestamp;
use tokio::time::Instant;

use crate::database::batch::{Batch, SessionContext, Step};
use crate::database::claim::failure_kind;
use crate::database::claim::{Claim, Work};
use crate::database::connection::Answer;
use crate::database::target::Target;
use crate::decision::{Reason, admit, come_back, give_up};
use crate::event::Event;
use crate::fleet::access::ExchangeError;
use crate::fleet::connection::DatabaseConnection;
use crate::measures::tenant_label;
use crate::ports::DatabaseUser;
use crate::statement::Statements;
use crate::statement::dispatch::{Dispatch, Dispatches, ProvenNotRun};

/// Where a statement stands in its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A single statement, or the first one of a transaction.
    First,
    /// A further one of a transaction that is open at a database.
    Further,
}

/// A prepared statement to run, with the caller's arguments.
#[derive(Clone, Debug)]
pub struct Execution {
    /// What was prepared.
    pub prepared: PreparedStatement,
    /// The arguments.
    pub arguments: String,
}

/// A statement with all that is needed to serve it.
pub struct Request {
    /// The caller's name for the attempt.
    pub id: Bytes,
    /// The text.
    pub text: Bytes,
    /// Set when the statement runs a prepared one.
    pub execution: Option<Execution>,
    /// The session's values.
    pub values: BTreeMap<String, String>,
    /// The route.
    pub route: Rc<RoutePolicy>,
    /// Whose it is, where callers need a key.
    pub tenant: Option<Arc<Tenant>>,
    /// The regions that serve it.
    pub regions: ServingRegions,
    /// When the statement arrived, or its transaction did.
    pub arrived: Timestamp,
    /// When its session was connected.
    pub connected: Timestamp,
    /// The session's last commit here.
    pub own_commit: Option<LogPosition>,
    /// When it must be answered.
    pub deadline: Instant,
    /// Attempts made at databases.
    pub attempts: Cell<u32>,
    /// Whether it may have run.
    pub dispatches: Dispatches,
}

/// What a caller receives for a statement.
#[derive(Clone, Debug)]
pub struct Served {
    /// The rows.
    pub rows: Vec<Bytes>,
    /// The signature, or why it failed.
    pub end: Result<Bytes, Failure>,
    /// The end of the log it ran on, if told.
    pub position: Option<LogPosition>,
}

impl Served {
    /// The answer of a database.
    pub fn from_database(answer: Answer) -> Self {
        Self {
            rows: answer.rows,
            end: answer.end,
            position: answer.position,
        }
    }

    /// A failure of the statements's own.
    pub fn failed(kind: FailureKind, message: &str) -> Self {
        Self {
            rows: Vec::new(),
            end: Err(Failure {
                kind,
                message: message.to_owned(),
            }),
            position: None,
        }
    }

    /// The statement has not run, as `_proof` tells; the caller should come back.
    pub fn not_run(kind: FailureKind, _proof: ProvenNotRun) -> Self {
        let come_back_ms = come_back::after_refusal(kind, rand::random_range).as_millis();
        Self::failed(
            kind,
            &format!("the statement has not run; come back after {come_back_ms} ms"),
        )
    }

    /// The statement's operation would exceed the tenant's quota, and nothing of it has run.
    pub fn over_quota(retry_after: Duration) -> Self {
        Self::failed(
            FailureKind::QuotaExceeded,
            &format!(
                "the tenant has used up its operations and the statement has not run; \
                 come back after {} ms",
                retry_after.as_millis()
            ),
        )
    }

    /// The caller's key may have been taken away unnoticed, and nothing has run.
    pub fn key_uncertain() -> Self {
        let come_back_ms = come_back::after_rollback().as_millis();
        Self::failed(
            FailureKind::KeyUncertain,
            &format!(
                "this node is out of touch and can't know whether the key still stands; nothing has \
                 run; connect to another node, or come back after {come_back_ms} ms"
            ),
        )
    }

    /// The statement's transaction is rolled back, and nothing was kept. Its statements may have run.
    pub fn rolled_back() -> Self {
        let come_back_ms = come_back::after_rollback().as_millis();
        Self::failed(
            FailureKind::Aborted,
            &format!(
                "the transaction is rolled back and nothing of it is kept; \
                 begin it again after {come_back_ms} ms"
            ),
        )
    }

    /// The statement may have run.
    pub fn in_doubt(reason: &str) -> Self {
        Self::failed(
            FailureKind::InDoubt,
            &format!("{reason}; the statement may have taken effect, so look before repeating it"),
        )
    }

    /// The statement's time ran out while it was at a database.
    pub fn timed_out() -> Self {
        Self::failed(
            FailureKind::TimedOut,
            "the statement's time ran out while it was running",
        )
    }
}

impl Request {
    /// What a connection must know of the session.
    pub fn context(&self) -> SessionContext {
        let execution = self.execution.as_ref();
        SessionContext {
            values: self.values.clone(),
            prepared: execution.map(|execution| execution.prepared.clone()),
        }
    }

    /// The step that runs the statement on a log that holds `after`.
    pub fn step(&self, after: Option<LogPosition>) -> Step {
        match &self.execution {
            Some(execution) => Step::Execute {
                id: self.id.clone(),
                arguments: execution.arguments.clone(),
                after,
            },
            None => Step::Run {
                id: self.id.clone(),
                text: self.text.clone(),
                after,
            },
        }
    }

    /// Its rank and patience among those who want a connection for `work`.
    pub fn claim(&self, work: Work) -> Claim {
        Claim {
            priority: self.route.priority + 1,
            until: self.give_up(),
            patience: admit::patience(self.route.latency_objective),
            work,
            user: Some(self.user()),
            regions: self.regions.clone(),
        }
    }

    /// In whose name it runs at databases.
    fn user(&self) -> DatabaseUser {
        match &self.tenant {
            Some(tenant) => DatabaseUser::Tenant(tenant.name.clone()),
            None => DatabaseUser::Gateway,
        }
    }

    /// Which commits a read has to see; `None` when only the primary will do.
    pub fn need(&self) -> Option<FreshnessNeed> {
        let consistency = self.route.consistency;
        consistency.need(self.arrived, self.connected, self.own_commit)
    }

    /// When the statement is given up if it isn't running by then.
    pub fn give_up(&self) -> Instant {
        give_up::latest_start(self.deadline)
    }

    /// Hands the statement to a connection as part of `batch`. The caller of this says
    /// whether they reject it.
    ///
    /// # Errors
    /// There are no answers; tells whether anything may have run.
    pub async fn exchange(
        &self,
        statements: &Rc<Statements>,
        checkout: &mut DatabaseConnection,
        target: &Target,
        batch: &Batch,
        stage: Stage,
    ) -> Result<(Vec<Answer>, Dispatch), ExchangeError> {
        let intent = match stage {
            Stage::First => Intent::first(&self.regions, batch.needs_leader()),
            Stage::Further => Intent::further(batch.needs_leader()),
        };
        // Leave is asked for behind all waits, since the zone may be evacuated meanwhile.
        checkout.wait_for_turn(batch).await;
        let permission = statements.databases.may_send(target, &intent);
        let permission =
            permission.map_err(|denial| ExchangeError::NotRun(failure_kind(denial)))?;
        let dispatch = self.dispatches.begin();
        match statements
            .access
            .exchange(checkout, target, batch, permission)
            .await
        {
            Ok(answers) => Ok((answers, dispatch)),
            Err(ExchangeError::NotRun(kind)) => {
                dispatch.rejected();
                Err(ExchangeError::NotRun(kind))
            }
            Err(ExchangeError::Lost(broken)) => Err(ExchangeError::Lost(broken)),
        }
    }

    /// Counts an attempt at a database.
    pub fn attempt(&self, statements: &Statements) {
        if self.attempts.get() > 0 {
            statements.cx.counters.further_attempts.add();
        }
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Measures the reply to the caller, and logs it if it isn't an ordinary success.
    pub fn log(&self, statements: &Statements, served: &Served, reason: Reason) {
        let elapsed = statements.cx.now().saturating_since(self.arrived);
        let failed = served.end.as_ref().err().map(|failure| failure.kind);
        statements
            .cx
            .measures
            .answered(&self.route.name, failed, elapsed);
        let outcome = match &served.end {
            Ok(_) if self.attempts.get() <= 1 => return,
            Ok(_) => "served".to_owned(),
            Err(failure) => format!("{:?}", failure.kind),
        };
        statements.cx.events.write(&Event::StatementDecided {
            id: &String::from_utf8_lossy(&self.id),
            group: self.route.group.as_str(),
            tenant: tenant_label(self.tenant.as_ref().map(|tenant| &tenant.name)),
            outcome,
            reason: &reason.to_string(),
            attempts: self.attempts.get(),
            elapsed_ms: elapsed.as_millis() as u64,
        });
    }
}
