//! Connections of the home's pool to its database (wires): opening, replies, return to the pool, and loss.

use super::*;

impl DatabaseHome {
    pub(super) fn act(&mut self, environment: &mut Environment, action: PoolAction) {
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

    pub(super) fn open_wire(&mut self, environment: &mut Environment, pooled: pool::ConnectionId) {
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

    pub(super) fn expire_opening(&mut self, environment: &mut Environment, now: Timestamp) {
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

    pub(super) fn handle_wire(
        &mut self,
        environment: &mut Environment,
        id: ConnectionId,
        payload: &Payload,
    ) {
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
                    self.handle_reply(environment, expected, reply.clone());
                }
            }
            Payload::Closed => self.lose_wire(environment, id),
            other => panic!("a home doesn't handle {other:?}"),
        }
    }

    pub(super) fn close_wire(&mut self, environment: &mut Environment, id: ConnectionId) {
        let now = environment.now(self.place);
        let Some(pooled) = self.wires.get(&id).map(|wire| wire.pooled) else {
            return;
        };
        if let Some(action) = self.pool.release(now, pooled, ReleaseCondition::Dirty) {
            self.act(environment, action);
        }
    }

    pub(super) fn close_wire_of(&mut self, environment: &mut Environment, id: JobId) {
        let job = self.jobs.get(&id);
        let busy = job.and_then(|job| job.wire).filter(|wire| {
            let wire = self.wires.get(wire);
            wire.is_some_and(|wire| !wire.expected.is_empty())
        });
        if let Some(wire) = busy.filter(|_| !environment.has(Switch::BusyConnectionReturned)) {
            self.close_wire(environment, wire);
        }
    }

    /// Handles a connection that the database closed: ends the jobs on it.
    pub(super) fn lose_wire(&mut self, environment: &mut Environment, id: ConnectionId) {
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

    pub(super) fn handle_reply(
        &mut self,
        environment: &mut Environment,
        expected: Expected,
        reply: Reply,
    ) {
        let now = environment.now(self.place);
        match (expected, reply) {
            (Expected::Status { job, requested_at }, Reply::Status(status)) => {
                self.view
                    .observe(now, &self.name.clone(), status, requested_at);
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
            (Expected::StatusAfterWrite { job, requested_at }, Reply::Status(status)) => {
                self.view
                    .observe(now, &self.name.clone(), status, requested_at);
                self.handle_status_after_write(environment, job, status);
            }
            // Happens only with `Switch::BusyConnectionReturned`, when the reply belongs to another job.
            (Expected::Status { job, .. } | Expected::StatusAfterWrite { job, .. }, _) => {
                self.finish(environment, job, Completion::Unknown);
            }
        }
    }

    /// Returns the job's slot and connection, once. The job may still be waiting for confirmation.
    pub(super) fn release(&mut self, environment: &mut Environment, id: JobId) {
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
}
