//! Resolves the outcome of a recorded write at the group's primary: bars the write in the ledger unless the ledger
//! already holds it, then has a majority of the group confirm the primary's log.

use super::*;

const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time between the end of an attempt and the start of the next.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// One attempt to resolve the write, at the member that is the primary in `term`.
struct Attempt {
    connection: ConnectionId,
    term: Term,
    since: Timestamp,
    ledger: Option<LedgerAnswer>,
    /// Confirmation rounds of this attempt, separate from the home's.
    confirmations: Confirmations<()>,
    lines: StatusLines,
}

#[derive(Default)]
pub struct Resolver {
    attempt: Option<Attempt>,
    next_attempt: Timestamp,
    new_connections: Vec<ConnectionId>,
}

/// The outcome of the write, confirmed by a majority of the group.
pub enum Resolution {
    Committed(LogPosition),
    Barred,
}

impl Resolver {
    pub fn take_new_connections(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.new_connections)
    }

    pub fn owns(&self, id: ConnectionId) -> bool {
        let attempt = self.attempt.as_ref();
        attempt.is_some_and(|attempt| attempt.connection == id || attempt.lines.owns(id))
    }

    pub fn tick(
        &mut self,
        environment: &mut Environment,
        place: Place,
        view: &GroupView,
        write: u64,
    ) -> Option<Resolution> {
        let now = environment.now(place);
        let overdue = |attempt: &mut Attempt| attempt.since + ATTEMPT_TIMEOUT <= now;
        if let Some(attempt) = self.attempt.take_if(overdue) {
            self.give_up(environment, attempt, now);
        }
        if self.attempt.is_none() && self.next_attempt <= now {
            let (primary, term) = view.primary()?;
            self.begin(environment, place, (member_of(&primary), term), write);
        }
        if let Some(attempt) = &mut self.attempt {
            for lost in attempt.lines.tick(environment, place) {
                attempt.fail_rounds(lost);
            }
            self.new_connections
                .extend(attempt.lines.take_new_connections());
        }
        self.advance(environment, now)
    }

    fn begin(
        &mut self,
        environment: &mut Environment,
        place: Place,
        (member, term): (usize, Term),
        write: u64,
    ) {
        let connection = environment.connect(place, database_place(member));
        self.new_connections.push(connection);
        let bar = match environment.has(Switch::AbsentWithoutBar) {
            true => Statement::ReadLedger { write },
            false => Statement::Bar { write },
        };
        for statement in [bar, Statement::Status] {
            let labelled = LabelledStatement {
                statement,
                transaction_name: format!("ledger-{}", environment.unique()),
                write: None,
            };
            environment.send(connection, Side::Client, Payload::Run(Box::new(labelled)));
        }
        let names = (0..MEMBERS).map(member_name);
        self.attempt = Some(Attempt {
            connection,
            term,
            since: environment.now(place),
            ledger: None,
            confirmations: Confirmations::new(member_name(member), names, ProbePacing::default()),
            lines: StatusLines::default(),
        });
    }

    pub fn give_up_now(&mut self, environment: &mut Environment, now: Timestamp) {
        if let Some(attempt) = self.attempt.take() {
            self.give_up(environment, attempt, now);
        }
    }

    fn give_up(&mut self, environment: &mut Environment, attempt: Attempt, now: Timestamp) {
        environment.close(attempt.connection, Side::Client);
        attempt.lines.close(environment);
        self.next_attempt = now + RETRY_DELAY;
    }

    pub fn handle(
        &mut self,
        environment: &mut Environment,
        now: Timestamp,
        id: ConnectionId,
        payload: &Payload,
    ) -> Option<Resolution> {
        let attempt = self.attempt.as_mut()?;
        if attempt.lines.owns(id) {
            match attempt.lines.handle(now, id, payload) {
                Some(LineEvent::Status(answer)) => attempt.handle_round_answer(answer),
                Some(LineEvent::Lost(lost)) => attempt.fail_rounds(lost),
                None => {}
            }
            return self.advance(environment, now);
        }
        match payload {
            Payload::Ran(Reply::Ledger(answer)) => attempt.ledger = Some(*answer),
            Payload::Ran(Reply::Status(status)) if attempt.ledger.is_some() => {
                let write = FinishedWrite {
                    sent_in_term: attempt.term,
                    status_after: *status,
                    mode: Confirmation::MajorityPosition,
                    deadline: attempt.since + ATTEMPT_TIMEOUT,
                };
                attempt.confirmations.write_finished((), write);
            }
            _ => {
                let attempt = self.attempt.take()?;
                self.give_up(environment, attempt, now);
            }
        }
        self.advance(environment, now)
    }

    fn advance(&mut self, environment: &mut Environment, now: Timestamp) -> Option<Resolution> {
        let attempt = self.attempt.as_mut()?;
        while let Some(round) = attempt.confirmations.start_round(now) {
            for member in round.members {
                let index = member_of(&member);
                let number = Some(round.number);
                if !attempt
                    .lines
                    .request_status(environment, now, index, number)
                {
                    attempt.confirmations.record_failure(round.number, &member);
                }
            }
        }
        let ledger = attempt.ledger?;
        if environment.has(Switch::BarUnconfirmed) && ledger == LedgerAnswer::Barred {
            return Some(Resolution::Barred);
        }
        let verdict = attempt.confirmations.take_resolved(now).pop()?.verdict;
        self.give_up_now(environment, now);
        match (verdict, ledger) {
            (ConfirmationResult::Confirmed(seen), LedgerAnswer::Committed) => {
                Some(Resolution::Committed(seen))
            }
            (ConfirmationResult::Confirmed(_), LedgerAnswer::Barred) => Some(Resolution::Barred),
            _ => None,
        }
    }
}

impl Attempt {
    fn handle_round_answer(&mut self, answer: crate::status_lines::StatusAnswer) {
        if let Some(round) = answer.round {
            let member = member_name(answer.member);
            self.confirmations
                .record_answer(round, &member, answer.status);
        }
    }

    fn fail_rounds(&mut self, lost: crate::status_lines::LostLine) {
        let member = member_name(lost.member);
        for round in lost.rounds {
            self.confirmations.record_failure(round, &member);
        }
    }
}
