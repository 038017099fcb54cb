//! The home of one database: queue, pool, view of the group and confirmation rounds.

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::admission::{FairQueue, Stage, Submission};
use dyketally::drain::{DatabaseDrain, DatabaseDrainAction};
use dyketally::group::{
    Confirmations, FinishedWrite, GroupView, LogPosition, MemberStatus, ProbePacing, Resolved,
    Role, Term, Verdict,
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
    Completion, Execute, Labelled, Operation, Payload, Reply, SessionKey, Statement,
};
use crate::status_lines::{Answer, StatusLines};
use crate::switches::Switch;

const SLOTS: u32 = 2;
const CONNECTION_LIMIT: u32 = 5;
const QUEUE_LIMIT: u32 = 8;
const DRAIN_GRACE: Duration = Duration::from_millis(400);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

enum Expected {
    /// The status that a decision waits for.
    Status {
        job: JobId,
        asked_at: Timestamp,
    },
    Result {
        job: JobId,
    },
    /// The status behind a write.
    Behind {
        job: JobId,
        asked_at: Timestamp,
    },
}

struct Wire {
    pooled: pool::ConnectionId,
    opened_at: Option<Timestamp>,
    opening_since: Timestamp,
    expected: Vec<Expected>,
    pinned: Option<Pin>,
}

#[derive(Clone, Copy)]
struct Pin {
    session: SessionKey,
    link: ConnectionId,
    /// Known from the second statement on.
    transaction: Option<u64>,
}

struct Job {
    execute: Execute,
    link: ConnectionId,
    arrived_at: Timestamp,
    deadline: Timestamp,
    ticket: Option<dyketally::admission::Ticket>,
    admitted: bool,
    wire: Option<ConnectionId>,
    /// The statement that counts was sent.
    sent: bool,
    sent_in: Term,
    reply: Option<Reply>,
    /// A read's reply waits for a verdict.
    unconfirmed: bool,
    seen: Option<LogPosition>,
    wake_at: Option<Timestamp>,
}

pub struct DatabaseHome {
    place: Place,
    member: usize,
    name: DatabaseName,
    view: GroupView,
    confirmations: Confirmations<JobId>,
    lines: StatusLines,
    pool: Pool,
    queue: FairQueue<JobId>,
    wires: BTreeMap<ConnectionId, Wire>,
    jobs: BTreeMap<JobId, Job>,
    drain: DatabaseDrain<JobId>,
    new_connections: Vec<ConnectionId>,
    /// Asked for anything yet.
    active: bool,
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
                self.pool.ask(now, &tenant_of(client), 1);
            }
            Err(_) => {
                return self.finish(environment, id, Completion::NotRun(NotRunReason::QueueFull));
            }
        }
        self.pump(environment);
    }

    /// Finds the connection of the job's transaction.
    fn take_pinned_wire(&mut self, environment: &mut Environment, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let (session, transaction) = (job.execute.session, job.execute.transaction);
        let pinned = self.wires.iter_mut().find_map(|(wire, known)| {
            let pin = known.pinned.as_mut().filter(|pin| pin.session == session)?;
            Some((*wire, pin))
        });
        let Some((wire, pin)) = pinned else {
            return false;
        };
        if pin.transaction.is_some() && pin.transaction != transaction {
            self.close_wire(environment, wire);
            return false;
        }
        pin.transaction = transaction;
        job.wire = Some(wire);
        if environment.has(Switch::TransactionNotPinned) {
            let other = self.wires.iter().find(|(other, known)| {
                **other != wire && known.opened_at.is_some() && known.expected.is_empty()
            });
            job.wire = other.map(|(other, _)| *other).or(Some(wire));
        }
        true
    }

    pub fn cancel(&mut self, environment: &mut Environment, link: ConnectionId, request: u64) {
        let wanted = self
            .jobs
            .iter()
            .find(|(_, job)| job.link == link && job.execute.request == request);
        let Some((id, job)) = wanted else {
            return;
        };
        let (id, unsafe_to_stop) = (*id, job.sent && job.execute.operation.may_change_data());
        if !unsafe_to_stop {
            self.finish(
                environment,
                id,
                Completion::NotRun(NotRunReason::DeadlinePassed),
            );
        }
    }

    pub fn end_session(&mut self, environment: &mut Environment, session: SessionKey) {
        let pinned = self
            .wires
            .iter()
            .filter(|(_, wire)| wire.pinned.is_some_and(|pin| pin.session == session));
        let pinned: Vec<_> = pinned.map(|(id, _)| *id).collect();
        for wire in pinned {
            self.close_wire(environment, wire);
        }
    }

    /// An edge's link has ended: its transactions are rolled back, its requests given up.
    pub fn lose_link(&mut self, environment: &mut Environment, link: ConnectionId) {
        let requests = self.jobs.values().filter(|job| job.link == link);
        let requests: Vec<_> = requests.map(|job| job.execute.request).collect();
        for request in requests {
            self.cancel(environment, link, request);
        }
        let pinned = self.wires.iter();
        let pinned = pinned.filter(|(_, wire)| wire.pinned.is_some_and(|pin| pin.link == link));
        let pinned: Vec<_> = pinned.map(|(id, _)| *id).collect();
        for wire in pinned {
            self.close_wire(environment, wire);
        }
    }

    pub fn leave(&mut self, environment: &mut Environment) {
        if !environment.has(Switch::LeavingIgnored) {
            self.drain.notice(environment.now(self.place));
            self.pool.leave();
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
        self.pump(environment);
    }

    fn poll_drain(&mut self, environment: &mut Environment, now: Timestamp) {
        for action in self.drain.poll(now) {
            if let DatabaseDrainAction::Cut { work } = action {
                for job in work {
                    self.finish(environment, job, Completion::Unknown);
                }
                for action in self.pool.close_held() {
                    self.act(environment, action);
                }
            }
        }
    }

    fn expire_running(&mut self, environment: &mut Environment, now: Timestamp) {
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

    fn expire_opening(&mut self, environment: &mut Environment, now: Timestamp) {
        let overdue = self.wires.iter().filter(|(_, wire)| {
            wire.opened_at.is_none() && wire.opening_since + CONNECT_TIMEOUT <= now
        });
        let overdue: Vec<_> = overdue.map(|(id, wire)| (*id, wire.pooled)).collect();
        for (id, pooled) in overdue {
            environment.close(id, Side::Client);
            self.wires.remove(&id);
            self.pool
                .refused(now, pooled, Refusal::Unreachable, &mut environment.random);
        }
    }

    /// Opens and closes connections, and begins the jobs whose turn it is.
    fn pump(&mut self, environment: &mut Environment) {
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

    fn act(&mut self, environment: &mut Environment, action: PoolAction) {
        match action {
            PoolAction::Open { connection } => self.open_wire(environment, connection),
            PoolAction::Close { connection } => {
                let wire = self
                    .wires
                    .iter()
                    .find(|(_, wire)| wire.pooled == connection);
                if let Some(id) = wire.map(|(id, _)| *id) {
                    environment.close(id, Side::Client);
                    self.wires.remove(&id);
                }
                self.pool.closed(connection);
            }
        }
    }

    fn open_wire(&mut self, environment: &mut Environment, pooled: pool::ConnectionId) {
        let id = environment.connect(self.place, database_place(self.member));
        environment.send(id, Side::Client, Payload::Open);
        let wire = Wire {
            pooled,
            opened_at: None,
            opening_since: environment.now(self.place),
            expected: Vec::new(),
            pinned: None,
        };
        self.wires.insert(id, wire);
        self.new_connections.push(id);
    }

    /// Begins or goes on with a job that has a connection.
    fn begin(&mut self, environment: &mut Environment, id: JobId) {
        let now = environment.now(self.place);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.wake_at = None;
        if matches!(
            job.execute.operation,
            Operation::Add { .. } | Operation::Commit
        ) {
            job.sent_in = self
                .view
                .primary()
                .map(|(_, term)| term)
                .unwrap_or_default();
            return self.send_operation(environment, id);
        }
        let access = match job.execute.operation {
            Operation::Lookup { .. } => Access::Read,
            _ => Access::Write,
        };
        let wire = job.wire.and_then(|wire| self.wires.get(&wire));
        let request = ServeRequest {
            database: &self.name,
            access,
            freshness: job.execute.freshness,
            arrived_at: job.arrived_at,
            connection_opened_at: wire.and_then(|wire| wire.opened_at),
        };
        let mut decision = decide(&self.view, request, ServeSettings::default(), now);
        if environment.has(Switch::ServeUnchecked) && access == Access::Read {
            decision = ServeDecision::Serve;
        }
        match decision {
            ServeDecision::Serve => {
                job.sent_in = self
                    .view
                    .primary()
                    .map(|(_, term)| term)
                    .unwrap_or_default();
                self.send_operation(environment, id);
            }
            ServeDecision::ServeConfirmed { term } => {
                let deadline = job.deadline;
                if !self.confirmed_early(environment, term) {
                    self.jobs.entry(id).and_modify(|job| job.unconfirmed = true);
                    self.confirmations.read_arrived(id, term, deadline);
                }
                self.send_operation(environment, id);
                self.run_rounds(environment);
            }
            ServeDecision::AskStatus => self.ask_status(environment, id, now),
            ServeDecision::WaitUntil(at) => job.wake_at = Some(at),
            ServeDecision::Redirect { primary, term } => {
                let primary = primary.as_ref().map(member_of);
                self.finish(environment, id, Completion::Redirect { primary, term });
            }
        }
    }

    /// With the switch: whether answers from before the read make a majority.
    fn confirmed_early(&self, environment: &Environment, term: Term) -> bool {
        let in_term = self.view.members().filter(|member| {
            let seen = self.view.status(member);
            seen.is_some_and(|seen| seen.status.term == term)
        });
        environment.has(Switch::EarlyRound) && in_term.count() >= self.view.majority()
    }

    fn ask_status(&mut self, environment: &mut Environment, id: JobId, asked_at: Timestamp) {
        let labelled = Labelled {
            statement: Statement::Status,
            transaction_name: String::new(),
            write: None,
        };
        self.send(
            environment,
            id,
            labelled,
            Expected::Status { job: id, asked_at },
        );
    }

    fn send_operation(&mut self, environment: &mut Environment, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.sent = true;
        let execute = &job.execute;
        let (statement, behind) = match execute.operation.clone() {
            Operation::Lookup { key } => (Statement::Lookup { key }, false),
            Operation::Write { entries, recorded } => {
                (Statement::Write { entries, recorded }, true)
            }
            Operation::Begin => (Statement::Begin, false),
            Operation::Add { entry } => (Statement::Add { entry }, false),
            Operation::Commit => (Statement::Commit, true),
        };
        let single = matches!(
            statement,
            Statement::Lookup { .. } | Statement::Write { .. }
        );
        let transaction_name = match single {
            true => format!("single-{}", environment.unique()),
            false => execute.transaction_name.clone(),
        };
        let labelled = Labelled {
            statement,
            transaction_name,
            write: execute.write.filter(|_| behind),
        };
        self.send(environment, id, labelled, Expected::Result { job: id });
        if behind {
            let asked_at = environment.now(self.place);
            let labelled = Labelled {
                statement: Statement::Status,
                transaction_name: String::new(),
                write: None,
            };
            self.send(
                environment,
                id,
                labelled,
                Expected::Behind { job: id, asked_at },
            );
        }
    }

    fn send(
        &mut self,
        environment: &mut Environment,
        id: JobId,
        labelled: Labelled,
        expected: Expected,
    ) {
        let wire_id = self.jobs.get(&id).and_then(|job| job.wire);
        let Some(wire_id) = wire_id else {
            return self.finish(
                environment,
                id,
                Completion::NotRun(NotRunReason::Unreachable),
            );
        };
        if let Some(wire) = self.wires.get_mut(&wire_id) {
            wire.expected.push(expected);
            environment.send(wire_id, Side::Client, Payload::Run(Box::new(labelled)));
        }
    }

    pub fn handle(&mut self, environment: &mut Environment, id: ConnectionId, payload: &Payload) {
        if self.lines.owns(id) {
            match self.lines.handle(environment.now(self.place), id, payload) {
                Some(Answer::Status(answer)) => self.take_status_answer(environment, answer),
                Some(Answer::Lost(lost)) => self.lose_lines(vec![lost]),
                None => {}
            }
        } else {
            self.handle_wire(environment, id, payload);
        }
        self.pump(environment);
    }

    fn take_status_answer(
        &mut self,
        environment: &mut Environment,
        answer: crate::status_lines::StatusAnswer,
    ) {
        let now = environment.now(self.place);
        let member = member_name(answer.member);
        self.view
            .observe(now, &member, answer.status, answer.asked_at);
        if let Some(round) = answer.round {
            let status = self.judged_status(environment, answer.status);
            self.confirmations.answered(round, &member, status);
        }
        self.run_rounds(environment);
    }

    fn judged_status(&self, environment: &Environment, mut status: MemberStatus) -> MemberStatus {
        if environment.has(Switch::OffsetOnly) {
            status.log.term = status.term;
        }
        status
    }

    fn lose_lines(&mut self, lost: Vec<crate::status_lines::LostLine>) {
        for line in lost {
            let member = member_name(line.member);
            self.view.lost(&member);
            for round in line.rounds {
                self.confirmations.failed(round, &member);
            }
        }
    }

    fn run_rounds(&mut self, environment: &mut Environment) {
        let now = environment.now(self.place);
        while let Some(round) = self.confirmations.start_round(now) {
            for member in round.members {
                if !self
                    .lines
                    .ask(environment, now, member_of(&member), Some(round.number))
                {
                    self.confirmations.failed(round.number, &member);
                }
            }
        }
        for resolved in self.confirmations.tick(now) {
            self.resolve(environment, resolved);
        }
    }

    fn resolve(&mut self, environment: &mut Environment, resolved: Resolved<JobId>) {
        let id = resolved.item;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let reads = matches!(job.execute.operation, Operation::Lookup { .. });
        match resolved.verdict {
            Verdict::Confirmed(seen) => {
                job.unconfirmed = false;
                job.seen = Some(seen);
                self.complete(environment, id);
            }
            Verdict::Deposed { higher_term } if reads => {
                let term = higher_term;
                self.finish(
                    environment,
                    id,
                    Completion::Redirect {
                        primary: None,
                        term,
                    },
                );
            }
            Verdict::Deposed { .. } | Verdict::NotConfirmed => {
                self.finish(environment, id, Completion::Unknown);
            }
        }
    }

    fn handle_wire(&mut self, environment: &mut Environment, id: ConnectionId, payload: &Payload) {
        let now = environment.now(self.place);
        let Some(wire) = self.wires.get_mut(&id) else {
            return;
        };
        match payload {
            Payload::Opened => {
                wire.opened_at = Some(now);
                let pooled = wire.pooled;
                if let Some(action) = self.pool.connected(now, pooled) {
                    self.act(environment, action);
                }
            }
            Payload::Refused { leaving } => {
                let refusal = match leaving {
                    true => Refusal::CannotConnectNow,
                    false => Refusal::TooManyConnections,
                };
                let pooled = wire.pooled;
                self.wires.remove(&id);
                environment.close(id, Side::Client);
                if *leaving {
                    self.leave(environment);
                }
                self.pool
                    .refused(now, pooled, refusal, &mut environment.random);
            }
            Payload::Ran(reply) => {
                if !wire.expected.is_empty() {
                    let expected = wire.expected.remove(0);
                    self.take_reply(environment, expected, reply.clone());
                }
            }
            Payload::Closed => self.lose_wire(environment, id),
            other => panic!("not for a home: {other:?}"),
        }
    }

    fn take_reply(&mut self, environment: &mut Environment, expected: Expected, reply: Reply) {
        let now = environment.now(self.place);
        match (expected, reply) {
            (Expected::Status { job, asked_at }, Reply::Status(status)) => {
                self.view.observe(now, &self.name.clone(), status, asked_at);
                self.begin(environment, job);
            }
            (Expected::Result { job }, reply) => {
                let Some(known) = self.jobs.get_mut(&job) else {
                    return;
                };
                known.reply = Some(reply);
                if !known.execute.operation.may_change_data() {
                    self.complete(environment, job);
                }
            }
            (Expected::Behind { job, asked_at }, Reply::Status(status)) => {
                self.view.observe(now, &self.name.clone(), status, asked_at);
                self.take_status_behind(environment, job, status);
            }
            // Only possible with a connection that was returned while busy.
            (Expected::Status { job, .. } | Expected::Behind { job, .. }, _) => {
                self.finish(environment, job, Completion::Unknown);
            }
        }
    }

    fn take_status_behind(
        &mut self,
        environment: &mut Environment,
        id: JobId,
        behind: MemberStatus,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match job.reply {
            Some(Reply::ReadOnly) => return self.redirect_elsewhere(environment, id),
            Some(Reply::RolledBack) => return self.finish(environment, id, Completion::RolledBack),
            _ => {}
        }
        let mode = match environment.has(Switch::TermOnly) {
            true => Confirmation::MajorityTerm,
            false => Confirmation::MajorityPosition,
        };
        let any_term = environment.has(Switch::AnyTermBehind) && behind.role == Role::Primary;
        let write = FinishedWrite {
            sent_in: if any_term { behind.term } else { job.sent_in },
            behind: self.judged_status(environment, behind),
            mode,
            deadline: self.jobs[&id].deadline,
        };
        self.release(environment, id);
        if environment.has(Switch::NoConfirmation) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.seen = Some(behind.log);
            }
            return self.complete(environment, id);
        }
        self.confirmations.write_finished(id, write);
        self.run_rounds(environment);
    }

    /// Answers a job whose reply has come and is confirmed, if that was needed.
    fn complete(&mut self, environment: &mut Environment, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.unconfirmed {
            return;
        }
        let (idle, open) = (TransactionStatus::Idle, TransactionStatus::Open);
        let answer = |answer: LookupAnswer| Some(answer);
        let seen = job.seen;
        let done = |transaction, answer| Completion::Done {
            seen,
            transaction,
            answer,
        };
        let Some(reply) = job.reply.clone() else {
            return;
        };
        let completion = match reply {
            Reply::Lookup(found) => done(idle, answer(found)),
            Reply::Applied => done(idle, None),
            Reply::Begun => {
                self.pin(id);
                done(open, None)
            }
            Reply::Added => done(open, None),
            Reply::ReadOnly => return self.redirect_elsewhere(environment, id),
            Reply::RolledBack => {
                if let Some(wire) = job.wire {
                    self.close_wire(environment, wire);
                }
                Completion::RolledBack
            }
            // Only possible with a connection that was returned while busy.
            Reply::Status(_) => Completion::Unknown,
        };
        self.finish(environment, id, completion);
    }

    fn pin(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (session, link) = (job.execute.session, job.link);
        let wire = job.wire.and_then(|wire| self.wires.get_mut(&wire));
        if let Some(wire) = wire {
            wire.pinned = Some(Pin {
                session,
                link,
                transaction: None,
            });
            self.pool.pin(wire.pooled);
        }
    }

    fn redirect_elsewhere(&mut self, environment: &mut Environment, id: JobId) {
        let primary = self
            .view
            .primary()
            .filter(|(primary, _)| primary != &self.name);
        let completion = match primary {
            Some((primary, term)) => Completion::Redirect {
                primary: Some(member_of(&primary)),
                term,
            },
            None => Completion::Redirect {
                primary: None,
                term: self.view.highest_term(),
            },
        };
        self.finish(environment, id, completion);
    }

    /// Gives slot and connection back, once; the job may still wait for its confirmation.
    fn release(&mut self, environment: &mut Environment, id: JobId) {
        let now = environment.now(self.place);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(ticket) = job.ticket.take()
            && job.admitted
        {
            self.queue.finished(now, ticket);
        }
        let transaction_over =
            matches!(job.execute.operation, Operation::Commit) && job.reply.is_some();
        let wire_id = job.wire.take();
        let Some(wire_id) = wire_id else {
            return;
        };
        let Some(wire) = self.wires.get_mut(&wire_id) else {
            return;
        };
        if !wire.expected.is_empty() {
            if environment.has(Switch::BusyConnectionReturned) {
                wire.expected.clear();
            } else {
                return self.close_wire(environment, wire_id);
            }
        }
        if wire.pinned.is_some() && !transaction_over {
            return;
        }
        wire.pinned = None;
        let pooled = wire.pooled;
        if let Some(action) = self.pool.release(now, pooled, ReleaseCondition::Clean) {
            self.act(environment, action);
        }
    }

    fn close_wire(&mut self, environment: &mut Environment, id: ConnectionId) {
        let now = environment.now(self.place);
        let Some(pooled) = self.wires.get(&id).map(|wire| wire.pooled) else {
            return;
        };
        if let Some(action) = self.pool.release(now, pooled, ReleaseCondition::Dirty) {
            self.act(environment, action);
        }
    }

    /// A connection has ended by itself.
    fn lose_wire(&mut self, environment: &mut Environment, id: ConnectionId) {
        let Some(wire) = self.wires.remove(&id) else {
            return;
        };
        let now = environment.now(self.place);
        match wire.opened_at {
            Some(_) => self.pool.closed(wire.pooled),
            None => {
                let refusal = Refusal::Unreachable;
                self.pool
                    .refused(now, wire.pooled, refusal, &mut environment.random);
            }
        }
        let on_it = self.jobs.iter().filter(|(_, job)| job.wire == Some(id));
        let on_it: Vec<_> = on_it
            .map(|(id, job)| (*id, job.sent, job.reply.is_some()))
            .collect();
        for (job, sent, replied) in on_it {
            let reads = matches!(self.jobs[&job].execute.operation, Operation::Lookup { .. });
            if replied && reads {
                continue;
            }
            let completion = match self.jobs[&job].execute.operation {
                Operation::Begin | Operation::Add { .. } => Completion::RolledBack,
                Operation::Commit if !sent => Completion::RolledBack,
                _ if sent => Completion::Unknown,
                _ => Completion::NotRun(NotRunReason::Unreachable),
            };
            self.finish(environment, job, completion);
        }
    }

    fn finish(&mut self, environment: &mut Environment, id: JobId, completion: Completion) {
        let waiting = self.jobs.get(&id).filter(|job| !job.admitted);
        if let Some(ticket) = waiting.and_then(|job| job.ticket) {
            self.queue.withdraw(ticket);
        }
        if matches!(completion, Completion::Unknown) {
            self.close_wire_of(environment, id);
        }
        self.release(environment, id);
        self.drain.end(&id);
        if let Some(job) = self.jobs.remove(&id) {
            finish(environment, job.link, job.execute.request, completion);
        }
    }

    fn close_wire_of(&mut self, environment: &mut Environment, id: JobId) {
        let job = self.jobs.get(&id);
        let busy = job.and_then(|job| job.wire).filter(|wire| {
            let wire = self.wires.get(wire);
            wire.is_some_and(|wire| !wire.expected.is_empty())
        });
        if let Some(wire) = busy.filter(|_| !environment.has(Switch::BusyConnectionReturned)) {
            self.close_wire(environment, wire);
        }
    }
}
