//! Status connection to one member of the group: asks the status statement at a pace of its own
//! and whenever it is told to, several questions at a time, and reports every answer.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dyketally::group::RoundNumber;
use dyketally::identifiers::DatabaseName;
use dyketally::retry::Backoff;
use dyketally::time::Timestamp;
use postgres_protocol::message::frontend;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until};

use super::backend::{BackendError, BackendLogin, BackendStream};
use super::monitor::GroupMonitor;
use super::status_reply::{StatusReader, StatusReply};
use crate::clock::now;

/// Longest time to open a status connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);
/// A question unanswered for this long makes the group be watched closely.
const SILENT_AFTER: Duration = Duration::from_millis(60);
/// A question unanswered for this long ends the connection.
const LOST_AFTER: Duration = Duration::from_secs(1);
/// Questions that may wait for an answer on one connection. Further askers wait for the next
/// question and share its answer.
const QUESTIONS_IN_FLIGHT: usize = 4;
const RECONNECT: Backoff = Backoff {
    first: Duration::from_millis(10),
    longest: Duration::from_millis(250),
};

/// Who asks for a member's status.
#[derive(Debug)]
pub enum Asker {
    /// A confirmation round.
    Round(RoundNumber),
    /// A request that waits for the answer; told whether there was one.
    Request(oneshot::Sender<bool>),
    /// The pace at which the group is watched.
    Pace,
}

/// Where a member is and how to ask it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeTarget {
    /// The member.
    pub member: DatabaseName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// How to log in.
    pub login: BackendLogin,
    /// The statement that yields its status.
    pub status_statement: String,
}

#[derive(Debug)]
struct PendingQuestion {
    askers: Vec<Asker>,
    asked_at: Timestamp,
    sent: Instant,
    reported_silent: bool,
}

/// The task that holds the status connection.
#[derive(Debug)]
pub struct Prober {
    target: ProbeTarget,
    monitor: Arc<GroupMonitor>,
    questions: mpsc::UnboundedReceiver<Asker>,
    pending: VecDeque<PendingQuestion>,
    /// Askers of the next question.
    backlog: Vec<Asker>,
}

/// Why a status connection ended.
enum Ended {
    Lost(BackendError),
    Stopped,
}

impl From<BackendError> for Ended {
    fn from(error: BackendError) -> Self {
        Self::Lost(error)
    }
}

impl Prober {
    /// A prober of `target` that reports to `monitor`.
    pub fn new(
        target: ProbeTarget,
        monitor: Arc<GroupMonitor>,
        questions: mpsc::UnboundedReceiver<Asker>,
    ) -> Self {
        Self {
            target,
            monitor,
            questions,
            pending: VecDeque::new(),
            backlog: Vec::new(),
        }
    }

    /// Keeps the connection until nobody can ask any more.
    pub async fn run(mut self) {
        let mut failures = 0;
        loop {
            let connected =
                BackendStream::connect(self.target.address, &self.target.login, CONNECT_LIMIT)
                    .await;
            let error = match connected {
                Ok(mut stream) => {
                    failures = 0;
                    match self.attend(&mut stream).await {
                        Err(Ended::Lost(error)) => error,
                        Err(Ended::Stopped) => return,
                    }
                }
                Err(error) => error,
            };
            failures += 1;
            self.monitor.lost(&self.target.member, &error);
            self.leave_unanswered();
            let pause = RECONNECT.delay(failures, &mut rand::rng());
            if !self.pause(pause).await {
                return;
            }
        }
    }

    /// Asks and reports until the connection is lost or nobody can ask any more.
    async fn attend(&mut self, stream: &mut BackendStream) -> Result<Infallible, Ended> {
        let mut reader = StatusReader::default();
        let mut next_pace = Instant::now();
        let mut pace_changed = self.monitor.pace_changes();
        loop {
            let silence_due = self.silence_due();
            tokio::select! {
                biased;
                frame = stream.read_frame() => {
                    if let Some(reply) = reader.accept(frame?)? {
                        self.answered(&reply);
                        next_pace = Instant::now() + self.monitor.pace();
                        self.ask(stream).await?;
                    }
                }
                asker = self.questions.recv() => match asker {
                    Some(asker) => {
                        self.backlog.push(asker);
                        self.ask(stream).await?;
                    }
                    None => return Err(Ended::Stopped),
                },
                () = sleep_until(next_pace), if self.pending.is_empty() => {
                    self.backlog.push(Asker::Pace);
                    self.ask(stream).await?;
                }
                () = sleep_until(silence_due), if !self.pending.is_empty() => {
                    self.note_silence()?;
                }
                _ = pace_changed.changed() => {
                    next_pace = next_pace.min(Instant::now() + self.monitor.pace());
                }
            }
        }
    }

    /// Puts one question for all who wait, unless too many are unanswered.
    async fn ask(&mut self, stream: &mut BackendStream) -> Result<(), BackendError> {
        if self.backlog.is_empty() || self.pending.len() >= QUESTIONS_IN_FLIGHT {
            return Ok(());
        }
        let asked_at = now();
        frontend::query(&self.target.status_statement, &mut stream.outgoing)?;
        self.pending.push_back(PendingQuestion {
            askers: std::mem::take(&mut self.backlog),
            asked_at,
            sent: Instant::now(),
            reported_silent: false,
        });
        stream.flush().await?;
        Ok(())
    }

    fn answered(&mut self, reply: &StatusReply) {
        let Some(question) = self.pending.pop_front() else {
            return;
        };
        let member = &self.target.member;
        let Some(status) = reply.status() else {
            self.monitor.malformed(member, reply);
            question
                .askers
                .into_iter()
                .for_each(|asker| self.unanswered(asker));
            return;
        };
        self.monitor.observe(member, status, question.asked_at);
        for asker in question.askers {
            match asker {
                Asker::Round(round) => self.monitor.round_answered(round, member, status),
                Asker::Request(answered) => {
                    // A request that has gone needs no answer.
                    let _ = answered.send(true);
                }
                Asker::Pace => {}
            }
        }
    }

    fn unanswered(&self, asker: Asker) {
        match asker {
            Asker::Round(round) => self.monitor.round_failed(round, &self.target.member),
            Asker::Request(answered) => {
                // A request that has gone needs no answer.
                let _ = answered.send(false);
            }
            Asker::Pace => {}
        }
    }

    fn leave_unanswered(&mut self) {
        let pending = self.pending.drain(..).flat_map(|question| question.askers);
        let askers: Vec<_> = pending.chain(self.backlog.drain(..)).collect();
        askers.into_iter().for_each(|asker| self.unanswered(asker));
    }

    /// When the oldest question has been unanswered for too long.
    fn silence_due(&self) -> Instant {
        let oldest = self.pending.front();
        oldest.map_or_else(Instant::now, |question| {
            let limit = match question.reported_silent {
                true => LOST_AFTER,
                false => SILENT_AFTER,
            };
            question.sent + limit
        })
    }

    fn note_silence(&mut self) -> Result<(), BackendError> {
        let Some(oldest) = self.pending.front_mut() else {
            return Ok(());
        };
        if oldest.reported_silent {
            return Err(BackendError::TimedOut(LOST_AFTER));
        }
        oldest.reported_silent = true;
        self.monitor.member_silent(&self.target.member);
        Ok(())
    }

    /// Waits for `pause`; questions in the meantime stay unanswered. False when nobody can ask
    /// any more.
    async fn pause(&mut self, pause: Duration) -> bool {
        let until = Instant::now() + pause;
        loop {
            tokio::select! {
                () = sleep_until(until) => return true,
                asker = self.questions.recv() => match asker {
                    Some(asker) => self.unanswered(asker),
                    None => return false,
                },
            }
        }
    }
}
