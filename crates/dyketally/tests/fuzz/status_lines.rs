//! A home's status lines: one connection to each member that carries only the status statement.

use std::collections::VecDeque;
use std::time::Duration;

use dyketally::group::{MemberStatus, RoundNumber};
use dyketally::time::Timestamp;

use crate::environment::{ConnectionId, Environment, MEMBERS, Place, Side, database_place};
use crate::messages::{LabelledStatement, Payload, Reply, Statement};

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
const REOPEN_DELAY: Duration = Duration::from_millis(5);

/// A status statement that was sent and not yet answered.
struct StatusRequest {
    requested_at: Timestamp,
    /// The confirmation round that the status is for; none for a regular poll.
    round: Option<RoundNumber>,
}

#[derive(Default)]
struct Line {
    connection: Option<ConnectionId>,
    requests: VecDeque<StatusRequest>,
    last_requested: Timestamp,
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
    pub requested_at: Timestamp,
    pub round: Option<RoundNumber>,
}

/// A status line that was closed, and the confirmation rounds whose status statements were unanswered on it.
pub struct LostLine {
    pub member: usize,
    pub rounds: Vec<RoundNumber>,
}

pub enum LineEvent {
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

    /// Opens lines that are due, polls members, and closes lines on which a reply is overdue; returns the closed ones.
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
                    self.request_status(environment, now, member, None);
                }
                None => {}
                Some(connection) => {
                    let oldest = line.requests.front().map(|request| request.requested_at);
                    if oldest.is_some_and(|requested_at| requested_at + ANSWER_TIMEOUT <= now) {
                        environment.close(connection, Side::Client);
                        lost.push(self.lose(now, member));
                    } else if line.last_requested + POLL_INTERVAL <= now {
                        self.request_status(environment, now, member, None);
                    }
                }
            }
        }
        lost
    }

    /// Sends `member` the status statement; returns false if no line to it is open.
    pub fn request_status(
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
        let requested_at = now;
        line.requests.push_back(StatusRequest {
            requested_at,
            round,
        });
        line.last_requested = now;
        let labelled = LabelledStatement {
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
    ) -> Option<LineEvent> {
        let member = self
            .lines
            .iter()
            .position(|line| line.connection == Some(id))?;
        match payload {
            Payload::Ran(Reply::Status(status)) => {
                let request = self.lines[member].requests.pop_front()?;
                Some(LineEvent::Status(StatusAnswer {
                    member,
                    status: *status,
                    requested_at: request.requested_at,
                    round: request.round,
                }))
            }
            Payload::Closed => Some(LineEvent::Lost(self.lose(now, member))),
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
        let requests = line.requests.drain(..);
        let rounds = requests.filter_map(|request| request.round).collect();
        LostLine { member, rounds }
    }
}
