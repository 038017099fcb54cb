//! Confirmation rounds of reads and writes, and the status lines that they use.

use super::*;

impl DatabaseHome {
    pub(super) fn handle_status_answer(
        &mut self,
        environment: &mut Environment,
        answer: crate::status_lines::StatusAnswer,
    ) {
        let now = environment.now(self.place);
        let member = member_name(answer.member);
        self.view
            .observe(now, &member, answer.status, answer.requested_at);
        if let Some(round) = answer.round {
            let status = self.status_for_confirmation(environment, answer.status);
            self.confirmations.record_answer(round, &member, status);
        }
        self.run_rounds(environment);
    }

    pub(super) fn status_for_confirmation(
        &self,
        environment: &Environment,
        mut status: MemberStatus,
    ) -> MemberStatus {
        if environment.has(Switch::OffsetOnly) {
            status.log.term = status.term;
        }
        status
    }

    pub(super) fn lose_lines(&mut self, lost: Vec<crate::status_lines::LostLine>) {
        for line in lost {
            let member = member_name(line.member);
            self.view.forget_status(&member);
            for round in line.rounds {
                self.confirmations.record_failure(round, &member);
            }
        }
    }

    pub(super) fn run_rounds(&mut self, environment: &mut Environment) {
        let now = environment.now(self.place);
        while let Some(round) = self.confirmations.start_round(now) {
            for member in round.members {
                if !self.lines.request_status(
                    environment,
                    now,
                    member_of(&member),
                    Some(round.number),
                ) {
                    self.confirmations.record_failure(round.number, &member);
                }
            }
        }
        for resolved in self.confirmations.take_resolved(now) {
            self.resolve(environment, resolved);
        }
    }

    pub(super) fn resolve(&mut self, environment: &mut Environment, resolved: Resolved<JobId>) {
        let id = resolved.item;
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let reads = matches!(job.execute.operation, Operation::Lookup { .. });
        match resolved.verdict {
            ConfirmationResult::Confirmed(seen) => {
                job.unconfirmed = false;
                job.seen = Some(seen);
                self.complete(environment, id);
            }
            ConfirmationResult::Deposed { higher_term } if reads => {
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
            ConfirmationResult::Deposed { .. } | ConfirmationResult::NotConfirmed => {
                self.finish(environment, id, Completion::Unknown);
            }
        }
    }

    pub(super) fn handle_status_after_write(
        &mut self,
        environment: &mut Environment,
        id: JobId,
        status_after: MemberStatus,
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
        // For a recorded write, half of the remaining time is reserved for resolving its outcome.
        let now = environment.now(self.place);
        let confirm_by = match job.execute.operation.is_recorded() {
            true => now + job.deadline.saturating_since(now) / 2,
            false => job.deadline,
        };
        let any_term = environment.has(Switch::AnyTermBehind) && status_after.role == Role::Primary;
        let write = FinishedWrite {
            sent_in_term: if any_term {
                status_after.term
            } else {
                job.sent_in
            },
            status_after: self.status_for_confirmation(environment, status_after),
            mode,
            deadline: confirm_by,
        };
        self.release(environment, id);
        if environment.has(Switch::NoConfirmation) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.seen = Some(status_after.log);
            }
            return self.complete(environment, id);
        }
        self.confirmations.write_finished(id, write);
        self.run_rounds(environment);
    }
}
