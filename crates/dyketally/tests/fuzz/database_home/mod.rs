//! The home of one database: its queue, its connection pool, its view of the group and its confirmation rounds.

mod confirming;
mod drain;
mod resolver;
mod resolving;
mod running;
mod sessions;
mod wires;

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::admission::{FairQueue, Stage, Submission};
use dyketally::group::{
    ConfirmationResult, Confirmations, FinishedWrite, GroupView, LogPosition, MemberStatus,
    ProbePacing, Resolved, Role, Term,
};
use dyketally::history::LookupAnswer;
use dyketally::identifiers::DatabaseName;
use dyketally::outcome::NotRunReason;
use dyketally::policy::{Access, Confirmation, Urgency};
use dyketally::pool::{self, Pool, PoolAction, PoolSettings, Refusal, ReleaseCondition};
use dyketally::routing::{ServeDecision, ServeRequest, ServeSettings, decide};
use dyketally::session::TransactionStatus;
use dyketally::time::Timestamp;

use crate::database::{member_name, member_of};
use crate::environment::{ConnectionId, Environment, MEMBERS, Place, Side, database_place};
use crate::home::{JobId, finish, tenant_of};
use crate::messages::{
    Completion, Execute, LabelledStatement, LedgerAnswer, Operation, Payload, Reply, SessionKey,
    Statement,
};
use crate::status_lines::{LineEvent, StatusLines};
use crate::switches::Switch;

use drain::DatabaseDrain;

const SLOTS: u32 = 2;
const CONNECTION_LIMIT: u32 = 5;
const QUEUE_LIMIT: u32 = 8;
const DRAIN_GRACE: Duration = Duration::from_millis(400);
/// Time that a replaced primary has to answer statements that were sent to it earlier.
const REPLACED_GRACE: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// A reply that is outstanding on a connection.
pub(super) enum Expected {
    /// The status that the decision whether to serve a job waits for.
    Status { job: JobId, requested_at: Timestamp },
    /// The reply to the job's own statement.
    Result { job: JobId },
    /// The status that is read right after a write or a commit, on the same connection.
    StatusAfterWrite { job: JobId, requested_at: Timestamp },
}

/// A connection to the database.
pub(super) struct Wire {
    /// The connection's identifier in the pool.
    pub(super) pooled: pool::ConnectionId,
    pub(super) opened_at: Option<Timestamp>,
    pub(super) opening_since: Timestamp,
    /// Outstanding replies in the order of their statements.
    pub(super) expected: Vec<Expected>,
    /// The transaction that the connection is reserved for.
    pub(super) pinned: Option<Pin>,
}

/// The session and transaction that a connection is reserved for.
#[derive(Clone, Copy)]
pub(super) struct Pin {
    pub(super) session: SessionKey,
    pub(super) link: ConnectionId,
    /// Number of the transaction; none until the transaction's second statement arrives.
    pub(super) transaction: Option<u64>,
}

/// A request at this home.
pub(super) struct Job {
    pub(super) execute: Execute,
    pub(super) link: ConnectionId,
    pub(super) arrived_at: Timestamp,
    pub(super) deadline: Timestamp,
    pub(super) ticket: Option<dyketally::admission::Ticket>,
    pub(super) admitted: bool,
    pub(super) wire: Option<ConnectionId>,
    /// Whether the job's own statement was sent, not only a status statement before it.
    pub(super) sent: bool,
    /// The primary's term, as the home knew it when the statement was sent.
    pub(super) sent_in: Term,
    pub(super) reply: Option<Reply>,
    /// Whether a read's reply is waiting for confirmation by a majority.
    pub(super) unconfirmed: bool,
    pub(super) seen: Option<LogPosition>,
    /// When to decide again whether to serve the job.
    pub(super) wake_at: Option<Timestamp>,
    /// When the home found that the database has been replaced as primary since the statement was sent.
    pub(super) replaced_at: Option<Timestamp>,
    /// Key of the ledger entry; only used for a recorded write.
    pub(super) ledger_key: u64,
    /// Finds out the outcome of a recorded write once it is unknown.
    pub(super) resolver: Option<resolver::Resolver>,
}

pub struct DatabaseHome {
    pub(super) place: Place,
    pub(super) member: usize,
    pub(super) name: DatabaseName,
    pub(super) view: GroupView,
    pub(super) confirmations: Confirmations<JobId>,
    pub(super) lines: StatusLines,
    pub(super) pool: Pool,
    pub(super) queue: FairQueue<JobId>,
    pub(super) wires: BTreeMap<ConnectionId, Wire>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) drain: DatabaseDrain,
    pub(super) new_connections: Vec<ConnectionId>,
    /// Whether the home has received a request since the node started.
    pub(super) active: bool,
}

impl DatabaseHome {
    pub fn new(place: Place, member: usize) -> Self {
        let names = || (0..MEMBERS).map(member_name);
        let settings = PoolSettings {
            minimum_open: 0,
            reserve: 1,
            ..PoolSettings::for_database(CONNECTION_LIMIT, SLOTS)
        };
        DatabaseHome {
            place,
            member,
            name: member_name(member),
            view: GroupView::new(names()),
            confirmations: Confirmations::new(member_name(member), names(), ProbePacing::default()),
            lines: StatusLines::default(),
            pool: Pool::new(settings),
            queue: FairQueue::new(SLOTS),
            wires: BTreeMap::new(),
            jobs: BTreeMap::new(),
            drain: DatabaseDrain::new(DRAIN_GRACE),
            new_connections: Vec::new(),
            active: false,
        }
    }

    pub fn take_new_connections(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.new_connections)
    }

    pub fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.jobs.keys().copied()
    }

    pub fn execute(
        &mut self,
        environment: &mut Environment,
        link: ConnectionId,
        id: JobId,
        execute: Execute,
    ) {
        self.active = true;
        let now = environment.now(self.place);
        let job = Job {
            link,
            arrived_at: now,
            deadline: now + execute.time_left,
            ticket: None,
            admitted: false,
            wire: None,
            sent: false,
            sent_in: Term::default(),
            reply: None,
            unconfirmed: false,
            seen: None,
            wake_at: None,
            replaced_at: None,
            ledger_key: environment.unique(),
            resolver: None,
            execute,
        };
        let continues = job.execute.transaction.is_some();
        let deadline = job.deadline;
        let client = job.execute.client;
        let stage = if continues {
            Stage::Continuation
        } else {
            Stage::Fresh
        };
        if matches!(job.execute.operation, Operation::Begin) {
            self.end_session(environment, job.execute.session);
        }
        self.jobs.insert(id, job);
        if continues && !self.take_pinned_wire(environment, id) {
            return self.finish(environment, id, Completion::RolledBack);
        }
        if !continues && !self.drain.accepts_new_work() && !environment.has(Switch::LeavingIgnored)
        {
            return self.redirect_elsewhere(environment, id);
        }
        self.drain.begin(id);
        let submission = Submission {
            tenant: tenant_of(client),
            weight: 1,
            queue_limit: QUEUE_LIMIT,
            stage,
            urgency: Urgency::Normal,
            deadline,
            item: id,
        };
        match self.queue.enqueue(now, submission, &mut environment.random) {
            Ok(ticket) => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.ticket = Some(ticket);
                }
                self.pool.record_demand(now, &tenant_of(client), 1);
            }
            Err(_) => {
                return self.finish(environment, id, Completion::NotRun(NotRunReason::QueueFull));
            }
        }
        self.pump(environment);
    }

    pub fn leave(&mut self, environment: &mut Environment) {
        if !environment.has(Switch::LeavingIgnored) {
            self.drain.notice(environment.now(self.place));
            self.pool.begin_drain();
        }
    }

    pub fn tick(&mut self, environment: &mut Environment) {
        if !self.active {
            return;
        }
        let now = environment.now(self.place);
        for expired in self.queue.expire(now, &mut environment.random) {
            self.finish(
                environment,
                expired.item,
                Completion::NotRun(NotRunReason::DeadlinePassed),
            );
        }
        self.expire_running(environment, now);
        self.give_up_replaced(environment, now);
        self.expire_opening(environment, now);
        let lost = self.lines.tick(environment, self.place);
        self.new_connections
            .extend(self.lines.take_new_connections());
        self.lose_lines(lost);
        self.poll_drain(environment, now);
        let due: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.wake_at.is_some_and(|at| at <= now))
            .map(|(id, _)| *id)
            .collect();
        for job in due {
            self.begin(environment, job);
        }
        self.run_rounds(environment);
        self.tick_resolvers(environment);
        self.pump(environment);
    }

    pub(super) fn poll_drain(&mut self, environment: &mut Environment, now: Timestamp) {
        let overdue = self.drain.take_overdue(now);
        if overdue.is_empty() {
            return;
        }
        for job in overdue {
            self.finish(environment, job, Completion::Unknown);
        }
        for action in self.pool.close_in_use() {
            self.act(environment, action);
        }
    }

    pub(super) fn expire_running(&mut self, environment: &mut Environment, now: Timestamp) {
        let overdue = self
            .jobs
            .iter()
            .filter(|(_, job)| job.admitted && job.deadline <= now);
        let overdue: Vec<_> = overdue.map(|(id, job)| (*id, job.sent)).collect();
        for (id, sent) in overdue {
            let completion = match sent {
                true => Completion::Unknown,
                false => Completion::NotRun(NotRunReason::DeadlinePassed),
            };
            self.finish(environment, id, completion);
        }
    }

    /// Opens and closes connections, and starts the jobs that the queue admits.
    pub(super) fn pump(&mut self, environment: &mut Environment) {
        let now = environment.now(self.place);
        let demand = self
            .queue
            .queued_fresh()
            .min(self.queue.free_slots() as usize);
        for action in self.pool.poll(now, demand as u32) {
            self.act(environment, action);
        }
        while let Some(admitted) = {
            let pool = &self.pool;
            self.queue.next_eligible(now, |tenant, stage| {
                stage == Stage::Continuation || pool.can_acquire(tenant)
            })
        } {
            let pooled = match admitted.stage {
                Stage::Continuation => None,
                Stage::Fresh => self.pool.acquire(now, &admitted.tenant, 1),
            };
            let wire = self
                .wires
                .iter()
                .find(|(_, wire)| Some(wire.pooled) == pooled);
            let wire = wire.map(|(id, _)| *id);
            let id = admitted.item;
            if let Some(job) = self.jobs.get_mut(&id) {
                job.admitted = true;
                job.wire = job.wire.or(wire);
            }
            self.begin(environment, id);
        }
    }

    pub fn handle(&mut self, environment: &mut Environment, id: ConnectionId, payload: &Payload) {
        if self.lines.owns(id) {
            match self.lines.handle(environment.now(self.place), id, payload) {
                Some(LineEvent::Status(answer)) => self.handle_status_answer(environment, answer),
                Some(LineEvent::Lost(lost)) => self.lose_lines(vec![lost]),
                None => {}
            }
        } else if !self.handle_resolver(environment, id, payload) {
            self.handle_wire(environment, id, payload);
        }
        self.pump(environment);
    }

    pub(super) fn finish(
        &mut self,
        environment: &mut Environment,
        id: JobId,
        completion: Completion,
    ) {
        if matches!(completion, Completion::Unknown) && self.resolve_write(environment, id) {
            return;
        }
        let waiting = self.jobs.get(&id).filter(|job| !job.admitted);
        if let Some(ticket) = waiting.and_then(|job| job.ticket) {
            self.queue.withdraw(ticket);
        }
        if matches!(completion, Completion::Unknown) {
            self.close_wire_of(environment, id);
        }
        self.release(environment, id);
        self.drain.end(id);
        if let Some(mut job) = self.jobs.remove(&id) {
            if let Some(resolver) = &mut job.resolver {
                resolver.give_up_now(environment, environment.now(self.place));
            }
            finish(environment, job.link, job.execute.request, completion);
        }
    }
}
