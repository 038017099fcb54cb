//! A home's connections that carry nothing but the status statement, one to each member.

use std::collections::VecDeque;
use std::time::Duration;

use dyketally::group::{MemberStatus, RoundNumber};
use dyketally::time::Timestamp;

use crate::environment::{ConnectionId, Environment, MEMBERS, Place, Side, database_place};
use crate::messages::{Labelled, Payload, Reply, Statement};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
const REOPEN_DELAY: Duration = Duration::from_millis(5);

struct Question {
    asked_at: Timestamp,
    round: Option<RoundNumber>,
}

#[derive(Default)]
struct Line {
    connection: Option<ConnectionId>,
    questions: VecDeque<Question>,
    last_asked: Timestamp,
    reopen_at: Timestamp,
}

#[derive(Default)]
pub struct StatusLines {
    lines: [Line; MEMBERS],
    new_connections: Vec<ConnectionId>,
}

pub struct StatusAnswer {
    pub member: usize,
    pub status: MemberStatus,
    pub asked_at: Timestamp,
    pub round: Option<RoundNumber>,
}

pub struct LostLine {
    pub member: usize,
    pub rounds: Vec<RoundNumber>,
}

pub enum Answer {
    Status(StatusAnswer),
    Lost(LostLine),
}

impl StatusLines {
    pub fn take_new_connections(&mut self) -> Vec<ConnectionId> {
        std::mem::take(&mut self.new_connections)
    }

    pub fn owns(&self, id: ConnectionId) -> bool {
        self.lines.iter().any(|line| line.connection == Some(id))
    }

    /// Opens, polls and gives up lines.
    pub fn tick(&mut self, environment: &mut Environment, place: Place) -> Vec<LostLine> {
        let now = environment.now(place);
        let mut lost = Vec::new();
        for member in 0..MEMBERS {
            let line = &mut self.lines[member];
            match line.connection {
                None if line.reopen_at <= now => {
                    let connection = environment.connect(place, database_place(member));
                    line.connection = Some(connection);
                    self.new_connections.push(connection);
                    self.ask(environment, now, member, None);
                }
                None => {}
                Some(connection) => {
                    let oldest = line.questions.front().map(|question| question.asked_at);
                    if oldest.is_some_and(|asked_at| asked_at + ANSWER_TIMEOUT <= now) {
                        environment.close(connection, Side::Client);
                        lost.push(self.lose(now, member));
                    } else if line.last_asked + POLL_INTERVAL <= now {
                        self.ask(environment, now, member, None);
                    }
                }
            }
        }
        lost
    }

    /// Asks `member` for its status; false when there is no line to it.
    pub fn ask(
        &mut self,
        environment: &mut Environment,
        now: Timestamp,
        member: usize,
        round: Option<RoundNumber>,
    ) -> bool {
        let line = &mut self.lines[member];
        let Some(connection) = line.connection else {
            return false;
        };
        let asked_at = now;
        line.questions.push_back(Question { asked_at, round });
        line.last_asked = now;
        let labelled = Labelled {
            statement: Statement::Status,
            transaction_name: String::new(),
            write: None,
        };
        environment.send(connection, Side::Client, Payload::Run(Box::new(labelled)));
        true
    }

    pub fn handle(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        payload: &Payload,
    ) -> Option<Answer> {
        let member = self
            .lines
            .iter()
            .position(|line| line.connection == Some(id))?;
        match payload {
            Payload::Ran(Reply::Status(status)) => {
                let question = self.lines[member].questions.pop_front()?;
                Some(Answer::Status(StatusAnswer {
                    member,
                    status: *status,
                    asked_at: question.asked_at,
                    round: question.round,
                }))
            }
            Payload::Closed => Some(Answer::Lost(self.lose(now, member))),
            _ => None,
        }
    }

    pub fn close(&self, environment: &mut Environment) {
        for connection in self.lines.iter().filter_map(|line| line.connection) {
            environment.close(connection, Side::Client);
        }
    }

    fn lose(&mut self, now: Timestamp, member: usize) -> LostLine {
        let line = &mut self.lines[member];
        line.connection = None;
        line.reopen_at = now + REOPEN_DELAY;
        let questions = line.questions.drain(..);
        let rounds = questions.filter_map(|question| question.round).collect();
        LostLine { member, rounds }
    }
}
