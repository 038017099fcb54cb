//! Running of a job: decides whether to serve it, sends its statement and completes it.

use super::*;

impl DatabaseHome {
    /// Starts or continues an admitted job, as the home's view of the group allows.
    pub(super) fn begin(&mut self, environment: &mut Environment, id: JobId) {
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

    /// With [`Switch::EarlyRound`], whether a majority was in `term` by status replies from before the read.
    pub(super) fn confirmed_early(&self, environment: &Environment, term: Term) -> bool {
        let in_term = self.view.members().filter(|member| {
            let seen = self.view.status(member);
            seen.is_some_and(|seen| seen.status.term == term)
        });
        environment.has(Switch::EarlyRound) && in_term.count() >= self.view.majority()
    }

    pub(super) fn ask_status(
        &mut self,
        environment: &mut Environment,
        id: JobId,
        requested_at: Timestamp,
    ) {
        let labelled = LabelledStatement {
            statement: Statement::Status,
            transaction_name: String::new(),
            write: None,
        };
        self.send(
            environment,
            id,
            labelled,
            Expected::Status {
                job: id,
                requested_at,
            },
        );
    }

    pub(super) fn send_operation(&mut self, environment: &mut Environment, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        job.sent = true;
        let execute = &job.execute;
        let (statement, status_follows) = match execute.operation.clone() {
            Operation::Lookup { key } => (Statement::Lookup { key }, false),
            Operation::Write { entries, recorded } => {
                let ledger_key = recorded.then_some(job.ledger_key);
                (
                    Statement::Write {
                        entries,
                        ledger_key,
                    },
                    true,
                )
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
        let labelled = LabelledStatement {
            statement,
            transaction_name,
            write: execute.write.filter(|_| status_follows),
        };
        self.send(environment, id, labelled, Expected::Result { job: id });
        if status_follows {
            let requested_at = environment.now(self.place);
            let labelled = LabelledStatement {
                statement: Statement::Status,
                transaction_name: String::new(),
                write: None,
            };
            self.send(
                environment,
                id,
                labelled,
                Expected::StatusAfterWrite {
                    job: id,
                    requested_at,
                },
            );
        }
    }

    pub(super) fn send(
        &mut self,
        environment: &mut Environment,
        id: JobId,
        labelled: LabelledStatement,
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

    /// Completes a job once its reply has arrived and, where required, is confirmed.
    pub(super) fn complete(&mut self, environment: &mut Environment, id: JobId) {
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
            // Happens only with `Switch::BusyConnectionReturned`, when the reply belongs to another job.
            Reply::Status(_) | Reply::Ledger(_) => Completion::Unknown,
        };
        self.finish(environment, id, completion);
    }

    pub(super) fn pin(&mut self, id: JobId) {
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

    pub(super) fn redirect_elsewhere(&mut self, environment: &mut Environment, id: JobId) {
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

    /// Ends writes with an unknown outcome if the group has a higher term than at their sending and the database hasn't
    /// answered within [`REPLACED_GRACE`].
    pub(super) fn give_up_replaced(&mut self, environment: &mut Environment, now: Timestamp) {
        let highest = self.view.highest_term();
        let mut overdue = Vec::new();
        for (id, job) in &mut self.jobs {
            let waits = job.sent
                && job.reply.is_none()
                && job.resolver.is_none()
                && job.execute.operation.may_change_data();
            if waits && highest > job.sent_in {
                let since = *job.replaced_at.get_or_insert(now);
                overdue.extend((since + REPLACED_GRACE <= now).then_some(*id));
            }
        }
        for id in overdue {
            self.finish(environment, id, Completion::Unknown);
        }
    }
}
