//! A caller's statement with all that is needed to serve it: deadline, queue timeouts, the commits that it
//! has to see. Obtains the permission to send it and writes its log line.

use std::borrow::Cow;
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

use crate::context::memory::Reservation;
use crate::database::batch::{Batch, SessionContext, Step};
use crate::database::connection::Answer;
use crate::database::connection_request::failure_kind;
use crate::database::connection_request::{ConnectionRequest, ConnectionUse};
use crate::database::target::Target;
use crate::decision::{Reason, admit, come_back, give_up};
use crate::event::Event;
use crate::fleet::access::ExchangeError;
use crate::fleet::connection::DatabaseConnection;
use crate::measures::tenant_label;
use crate::ports::DatabaseUser;
use crate::statement::Statements;
use crate::statement::dispatch::{Dispatch, Dispatches, ProvenNotRun};

/// Most bytes of a caller's id that the log shows. Ids of up to 1 MiB are valid.
const SHOWN_ID_BYTES: usize = 128;

/// Position of a statement in its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// A single statement, or the first one of a transaction.
    First,
    /// A later statement of a transaction that is open at a database.
    Further,
}

/// A prepared statement to run, with the caller's arguments.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The prepared statement.
    pub prepared: PreparedStatement,
    /// The arguments.
    pub arguments: String,
}

/// A statement with all that is needed to serve it.
pub struct Request {
    /// The caller's name for the attempt.
    pub id: Bytes,
    /// Text of the statement.
    pub text: Bytes,
    /// Memory of the caller's message, as long as any attempt needs it; `None` for a short message.
    pub memory: Option<Rc<Reservation>>,
    /// False when the message would be too long for a database if the position that its log must hold were added.
    pub has_room_for_position: bool,
    /// Set when the statement runs a prepared one.
    pub execution: Option<Execution>,
    /// Values that the session has set.
    pub values: Rc<BTreeMap<String, String>>,
    /// Memory for the copies of the session's state that are sent along; `None` for a short state.
    pub state_copies: Option<Reservation>,
    /// Route of the statement.
    pub route: Rc<RoutePolicy>,
    /// The caller's tenant, on routes that need an API key.
    pub tenant: Option<Arc<Tenant>>,
    /// Regions whose nodes and databases may serve the statement.
    pub regions: ServingRegions,
    /// When the statement arrived.
    pub arrived: Timestamp,
    /// When its session was connected.
    pub connected: Timestamp,
    /// Position of the session's last commit through this node.
    pub own_commit: Option<LogPosition>,
    /// When the statement must be answered.
    pub deadline: Instant,
    /// Number of attempts at databases so far.
    pub attempts: Cell<u32>,
    /// Tracks whether the statement may have run.
    pub dispatches: Dispatches,
}

/// What a caller receives for a statement.
#[derive(Clone, Debug)]
pub struct Response {
    /// Rows of the result.
    pub rows: Vec<Bytes>,
    /// The signature of the answer, or why the statement failed.
    pub end: Result<Bytes, Failure>,
    /// End of the database's log when the statement ran, if the database reported it.
    pub position: Option<LogPosition>,
}

impl Response {
    /// The answer of a database.
    pub fn from_database(answer: Answer) -> Self {
        Self {
            rows: answer.rows,
            end: answer.end,
            position: answer.position,
        }
    }

    /// A failure reported by the gateway itself.
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

    /// The statement has not run, as `_proof` shows; the caller may retry it.
    pub fn not_run(kind: FailureKind, _proof: ProvenNotRun) -> Self {
        let retry_after_ms = come_back::after_refusal(kind, rand::random_range).as_millis();
        Self::failed(
            kind,
            &format!("the statement has not run; retry after {retry_after_ms} ms"),
        )
    }

    /// This node has no memory for the statement, which hasn't run.
    pub fn out_of_memory() -> Self {
        let retry_after_ms = come_back::after_rollback().as_millis();
        Self::failed(
            FailureKind::Overloaded,
            &format!(
                "this node's memory for long messages is used up and the statement has not run; \
                 connect to another node, or retry after {retry_after_ms} ms"
            ),
        )
    }

    /// The caller's message didn't arrive in time, so that it hasn't run.
    pub fn message_too_slow() -> Self {
        Self::failed(
            FailureKind::Overloaded,
            "the message took too long to arrive and has not run; send it in one piece",
        )
    }

    /// The operation would exceed the tenant's quota; nothing of it has run.
    pub fn over_quota(retry_after: Duration) -> Self {
        Self::failed(
            FailureKind::QuotaExceeded,
            &format!(
                "the tenant's quota is used up and the statement has not run; \
                 retry after {} ms",
                retry_after.as_millis()
            ),
        )
    }

    /// The caller's API key may have been revoked without this node's knowledge; nothing has run.
    pub fn key_uncertain() -> Self {
        let retry_after_ms = come_back::after_rollback().as_millis();
        Self::failed(
            FailureKind::KeyUncertain,
            &format!(
                "this node is out of contact and can't know whether the API key is still valid; nothing \
                 has run; connect to another node, or retry after {retry_after_ms} ms"
            ),
        )
    }

    /// The transaction is rolled back and none of its changes are kept. Its statements may have run.
    pub fn rolled_back() -> Self {
        let retry_after_ms = come_back::after_rollback().as_millis();
        Self::failed(
            FailureKind::Aborted,
            &format!(
                "the transaction is rolled back and none of its changes are kept; \
                 begin it again after {retry_after_ms} ms"
            ),
        )
    }

    /// The statement may have run.
    pub fn in_doubt(reason: &str) -> Self {
        Self::failed(
            FailureKind::InDoubt,
            &format!("{reason}; the statement may have taken effect, so check before repeating it"),
        )
    }

    /// The deadline passed while a database was running the statement.
    pub fn timed_out() -> Self {
        Self::failed(
            FailureKind::TimedOut,
            "the deadline passed while a database was running the statement; it may have taken \
             effect, so check before repeating it",
        )
    }
}

/// A caller's id for the log: its first [`SHOWN_ID_BYTES`].
fn shown_id(id: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(&id[..id.len().min(SHOWN_ID_BYTES)])
}

impl Request {
    /// The session state that a connection must have to run the statement.
    pub fn context(&self) -> SessionContext {
        let execution = self.execution.as_ref();
        SessionContext {
            values: self.values.clone(),
            prepared: execution.map(|execution| execution.prepared.clone()),
        }
    }

    /// The step that runs the statement if the log holds `after`.
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

    /// The request for a connection for `connection_use`: priority, wait limit and queue timeouts.
    pub fn connection_request(&self, connection_use: ConnectionUse) -> ConnectionRequest {
        ConnectionRequest {
            priority: self.route.priority + 1,
            deadline: self.latest_start(),
            queue_timeout: admit::queue_timeouts(self.route.latency_objective),
            connection_use,
            user: Some(self.user()),
            regions: self.regions.clone(),
        }
    }

    /// The user as which the statement runs at databases.
    fn user(&self) -> DatabaseUser {
        match &self.tenant {
            Some(tenant) => DatabaseUser::Tenant(tenant.name.clone()),
            None => DatabaseUser::Gateway,
        }
    }

    /// The commits that a read has to see; `None` when only the primary may serve it, to which no position is sent.
    pub fn need(&self) -> Option<FreshnessNeed> {
        if !self.has_room_for_position {
            return None;
        }
        let consistency = self.route.consistency;
        consistency.need(self.arrived, self.connected, self.own_commit)
    }

    /// When the statement is given up if it isn't running by then.
    pub fn latest_start(&self) -> Instant {
        give_up::latest_start(self.deadline)
    }

    /// Sends the statement to the database as part of `batch`. The caller of this method marks the dispatch as
    /// rejected if an answer says that the statement has not run.
    ///
    /// # Errors
    /// The batch has no answers; the error tells whether it may have run.
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
            Stage::Further => Intent::in_transaction(batch.needs_leader()),
        };
        // Permission is requested after all waits, since the zone may be evacuated during them.
        checkout.wait_for_turn(batch).await;
        let permission = statements.databases.permission_to_send(target, &intent);
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
    pub fn count_attempt(&self, statements: &Statements) {
        if self.attempts.get() > 0 {
            statements.cx.counters.further_attempts.add();
        }
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Measures the response to the caller, and logs it unless it is a success at the first attempt.
    pub fn record_outcome(&self, statements: &Statements, response: &Response, reason: Reason) {
        let elapsed = statements.cx.now().saturating_since(self.arrived);
        let failed = response.end.as_ref().err().map(|failure| failure.kind);
        statements
            .cx
            .measures
            .count_statement(&self.route.name, failed, elapsed);
        let outcome = match &response.end {
            Ok(_) if self.attempts.get() <= 1 => return,
            Ok(_) => "served".to_owned(),
            Err(failure) => format!("{:?}", failure.kind),
        };
        statements.cx.events.write(&Event::StatementDecided {
            id: &shown_id(&self.id),
            group: self.route.group.as_str(),
            tenant: tenant_label(self.tenant.as_ref().map(|tenant| &tenant.name)),
            outcome,
            reason: &reason.to_string(),
            attempts: self.attempts.get(),
            elapsed_ms: elapsed.as_millis() as u64,
        });
    }
}
