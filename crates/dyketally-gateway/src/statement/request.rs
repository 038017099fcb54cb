//! One statement of a session on its way through the gateway.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dyketally::admission::Patience;
use dyketally::eligibility::{Denial, Intent, ServingRegions};
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
use crate::event::Event;
use crate::fleet::access::ExchangeError;
use crate::fleet::connection::DatabaseConnection;
use crate::gateway::Gateway;
use crate::measures::tenant_label;
use crate::ports::DatabaseUser;
use crate::statement::hand_over::{HandOver, HandOvers, Unrun};

/// Left of the statement's time when a statement that isn't running is given up.
const ANSWER_RESERVE: Duration = Duration::from_millis(30);
/// Shares of a route's objective for which a statement waits behind others: in a queue that stands all
/// who wait would be late, and what is refused at once can come back in time.
const STANDING_QUEUE_SHARE: f64 = 0.125;
const BURST_QUEUE_SHARE: f64 = 0.5;
const SHORTEST_QUEUE: Duration = Duration::from_millis(50);
/// Share of a route's objective after which a statement that found too long a queue is refused.
const REFUSED_AFTER_SHARE: f64 = 0.4;
/// When callers are told to come back after a refusal.
const COME_BACK_MS: u64 = 250;
/// The same where no database may serve the statement: a primary may be on its way to one that may,
/// which takes about so long.
const NOT_SERVED_COME_BACK_MS: u64 = 1_000;

/// The same where the database has just started, drawn at random: callers who are refused together
/// come back spread over the span in which they may retry, so that no second is overfull.
const COLD_COME_BACK_MS: std::ops::RangeInclusive<u64> = 300..=2_000;

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
    pub hand_overs: HandOvers,
}

/// What a caller is told of a statement.
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

    /// A failure of the gateway's own.
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

    /// The statement has not run, as `_unrun` tells; the caller should come back.
    pub fn not_run(kind: FailureKind, _unrun: Unrun) -> Self {
        let come_back_ms = match kind {
            FailureKind::NotServedHere => NOT_SERVED_COME_BACK_MS,
            FailureKind::DatabaseCold => rand::random_range(COLD_COME_BACK_MS),
            _ => COME_BACK_MS,
        };
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
        Self::failed(
            FailureKind::KeyUncertain,
            &format!(
                "this node is out of touch and can't know whether the key still stands; nothing has \
                 run; connect to another node, or come back after {COME_BACK_MS} ms"
            ),
        )
    }

    /// The statement's transaction is rolled back, and nothing was kept. Its statements may have run.
    pub fn rolled_back() -> Self {
        Self::failed(
            FailureKind::Aborted,
            &format!(
                "the transaction is rolled back and nothing of it is kept; \
                 begin it again after {COME_BACK_MS} ms"
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
            patience: Patience {
                burst: self.share(BURST_QUEUE_SHARE),
                standing: self.share(STANDING_QUEUE_SHARE),
            },
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

    fn share(&self, share: f64) -> Duration {
        let objective = self.route.latency_objective;
        objective.mul_f64(share).max(SHORTEST_QUEUE)
    }

    /// When the statement is given up if it isn't running by then.
    pub fn give_up(&self) -> Instant {
        self.deadline - ANSWER_RESERVE
    }

    /// True when the statement should be refused, given why it wasn't run: connections are short,
    /// here or at the database, and it would be late if it waited longer.
    pub fn is_hopeless(&self, gateway: &Gateway, refusal: FailureKind) -> bool {
        let limit = self.route.latency_objective.mul_f64(REFUSED_AFTER_SHARE);
        let elapsed = gateway.cx.now().saturating_since(self.arrived);
        match refusal {
            FailureKind::QueueTooLong | FailureKind::NotServedHere | FailureKind::DatabaseCold => {
                true
            }
            FailureKind::NoConnection | FailureKind::Overloaded => elapsed >= limit,
            _ => false,
        }
    }

    /// What the caller is told when no further attempt is made, where the last one was refused for
    /// `refusal`: that the statement hasn't run, but only if that is so.
    pub fn refuse(&self, refusal: FailureKind) -> Served {
        match self.hand_overs.unrun() {
            Some(unrun) => Served::not_run(refusal, unrun),
            None => Served::in_doubt("an attempt got no answer that counts"),
        }
    }

    /// What the caller is told when the statement's time is over.
    pub fn out_of_time(&self, refusal: FailureKind) -> Served {
        match self.hand_overs.unrun() {
            Some(unrun) => Served::not_run(refusal, unrun),
            None => Served::timed_out(),
        }
    }

    /// Hands the statement to a connection as part of `batch`. Whoever judges the answers says
    /// whether they reject it.
    ///
    /// # Errors
    /// There are no answers; tells whether anything may have run.
    pub async fn exchange(
        &self,
        gateway: &Rc<Gateway>,
        checkout: &mut DatabaseConnection,
        target: &Target,
        batch: &Batch,
        stage: Stage,
    ) -> Result<(Vec<Answer>, HandOver), ExchangeError> {
        let intent = match stage {
            Stage::First => Intent::first(&self.regions, batch.needs_leader()),
            Stage::Further => Intent::further(batch.needs_leader()),
        };
        // Leave is asked for behind all waits, since the zone may be evacuated meanwhile.
        checkout.wait_for_turn(batch).await;
        let permission = gateway.databases.may_send(target, &intent);
        let permission =
            permission.map_err(|denial| ExchangeError::NotRun(failure_kind(denial)))?;
        let hand_over = self.hand_overs.begin();
        match gateway
            .access
            .exchange(checkout, target, batch, permission)
            .await
        {
            Ok(answers) => Ok((answers, hand_over)),
            Err(ExchangeError::NotRun(kind)) => {
                hand_over.rejected();
                Err(ExchangeError::NotRun(kind))
            }
            Err(ExchangeError::Lost(broken)) => Err(ExchangeError::Lost(broken)),
        }
    }

    /// Why no database of the group can serve it for now, `needs_leader` or not; counted and logged.
    pub fn served_nowhere(&self, gateway: &Gateway, needs_leader: bool) -> Option<Denial> {
        let intent = Intent::first(&self.regions, needs_leader);
        let denial = gateway
            .databases
            .denied_for_good(&self.route.group, &intent)?;
        gateway.report_served_nowhere(&self.route, &self.regions, denial);
        Some(denial)
    }

    /// Counts an attempt at a database.
    pub fn attempt(&self, gateway: &Gateway) {
        if self.attempts.get() > 0 {
            gateway.cx.counters.further_attempts.add();
        }
        self.attempts.set(self.attempts.get() + 1);
    }

    /// Measures what the caller is told, and logs it if it isn't an ordinary success.
    pub fn log(&self, gateway: &Gateway, served: &Served, reason: &str) {
        let elapsed = gateway.cx.now().saturating_since(self.arrived);
        let failed = served.end.as_ref().err().map(|failure| failure.kind);
        gateway
            .cx
            .measures
            .answered(&self.route.name, failed, elapsed);
        let outcome = match &served.end {
            Ok(_) if self.attempts.get() <= 1 => return,
            Ok(_) => "served".to_owned(),
            Err(failure) => format!("{:?}", failure.kind),
        };
        gateway.cx.events.write(&Event::StatementDecided {
            id: &String::from_utf8_lossy(&self.id),
            group: self.route.group.as_str(),
            tenant: tenant_label(self.tenant.as_ref().map(|tenant| &tenant.name)),
            outcome,
            reason,
            attempts: self.attempts.get(),
            elapsed_ms: elapsed.as_millis() as u64,
        });
    }
}
