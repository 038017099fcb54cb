//! Drives a member of a group: hands it what its peers send, and lets it see the clock.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use dyketally::group::{Role, Term};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::peers::{Arrivals, accept_peers, send_to_peer};
use super::replication::{Append, Envelope, Message};
use super::server::Database;

/// Messages that may wait for the member or for a peer; more are dropped and sent again later.
const QUEUE_LENGTH: usize = 1_024;
/// How often the member sees the clock.
const TICK: Duration = Duration::from_millis(5);
/// Time between two ticks from which on the member counts as having stood still: ten ticks. A process of one
/// thread that reads a row of 5 MB beside much load stood still for 0.36 to 1.0 s.
const STANDSTILL: Duration = Duration::from_millis(50);

/// Drives the member of `database` until `stopped`.
pub async fn run_member(
    database: Arc<Database>,
    listener: TcpListener,
    stopped: CancellationToken,
) {
    let (inbox_sender, inbox) = mpsc::channel(QUEUE_LENGTH);
    let arrived = Arc::new(Arrivals::default());
    let accepting = accept_peers(listener, inbox_sender, arrived.clone(), stopped.clone());
    tokio::spawn(accepting);
    let peers = database.settings.peers.iter();
    let outboxes = peers
        .map(|peer| {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            let link = send_to_peer(database.settings.name.clone(), peer.clone(), receiver);
            let stopped = stopped.clone();
            tokio::spawn(async move { stopped.run_until_cancelled(link).await });
            (peer.name.clone(), sender)
        })
        .collect();
    let driver = Driver {
        database,
        inbox,
        outboxes,
        delayed: VecDeque::new(),
        reported: None,
        arrived,
        received: 0,
        ticked: Instant::now(),
    };
    stopped.run_until_cancelled(driver.run()).await;
}

/// An append that is applied late because this member lags.
struct DelayedAppend {
    received_at: Timestamp,
    from: DatabaseName,
    append: Append,
}

struct Driver {
    database: Arc<Database>,
    inbox: mpsc::Receiver<Envelope>,
    outboxes: BTreeMap<DatabaseName, mpsc::Sender<Message>>,
    delayed: VecDeque<DelayedAppend>,
    reported: Option<(Role, Term)>,
    /// What has arrived.
    arrived: Arc<Arrivals>,
    /// How many bytes had when a message was received last.
    received: usize,
    /// When the member saw the clock last.
    ticked: Instant,
}

impl Driver {
    async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                envelope = self.inbox.recv() => match envelope {
                    Some(envelope) => self.receive(envelope),
                    None => return,
                },
                () = self.database.appended.notified() => {
                    self.database.with_member(|member, now| member.replicate(now));
                }
                _ = ticks.tick() => self.tick(),
            }
            self.deliver();
        }
    }

    fn tick(&mut self) {
        let last_tick = std::mem::replace(&mut self.ticked, Instant::now());
        let since_last_tick = last_tick.elapsed();
        self.notice_progress(last_tick);
        let stood = self.database.with_member(|member, _| member.is_candidate());
        let drained = self.database.is_leaving() && self.database.connections.count() == 0;
        self.database.with_member(|member, now| {
            if drained {
                member.leave();
            }
            member.tick(now);
        });
        let stands = self.database.with_member(|member, _| member.is_candidate());
        if stands && !stood {
            let name = &self.database.settings.name;
            let arrived = self.arrived.bytes() - self.received;
            let waiting = self.inbox.len();
            log::info!(
                "database {name} stands for election; {since_last_tick:?} since it saw the clock, \
                 {waiting} messages wait, {arrived} bytes have arrived since the last one"
            );
        }
        self.apply_delayed();
        self.report();
    }

    /// Takes notice of what has happened since `last_tick` that isn't a whole message: parts of one that the
    /// primary sends, and a standstill of this member, in which it couldn't have heard anything.
    fn notice_progress(&mut self, last_tick: Instant) {
        let stood_still = last_tick.elapsed();
        let arrived = &self.arrived;
        self.database.with_member(|member, now| {
            if stood_still > STANDSTILL {
                member.stood_still(stood_still);
            }
            let primary = member.followed().cloned();
            if primary.is_some_and(|primary| arrived.any_since(&primary, last_tick)) {
                member.hear_part(now);
            }
        });
    }

    fn receive(&mut self, envelope: Envelope) {
        let Envelope { from, message } = envelope;
        self.received = self.arrived.bytes();
        if self.database.cut_from(&from).inbound {
            return;
        }
        let lags = !self.database.replication_lag().is_zero() || !self.delayed.is_empty();
        match message {
            Message::Append(append) if lags => self.delay(from, append),
            message => self
                .database
                .with_member(|member, now| member.receive(now, &from, message)),
        }
    }

    fn delay(&mut self, from: DatabaseName, append: Append) {
        let term = append.term;
        let received_at = self.database.with_member(|member, now| {
            member.hear_primary(now, &from, term);
            now
        });
        self.delayed.push_back(DelayedAppend {
            received_at,
            from,
            append,
        });
    }

    fn apply_delayed(&mut self) {
        let lag = self.database.replication_lag();
        let now = self.database.now();
        while let Some(first) = self.delayed.front() {
            if now.saturating_since(first.received_at) < lag {
                return;
            }
            let Some(due) = self.delayed.pop_front() else {
                return;
            };
            let message = Message::Append(due.append);
            self.database
                .with_member(|member, now| member.receive(now, &due.from, message));
        }
    }

    /// Hands the member's messages to the links; one that is cut or full drops them.
    fn deliver(&self) {
        let messages = self.database.with_member(|member, _| member.take_outbox());
        for (to, message) in messages {
            if self.database.cut_from(&to).outbound {
                continue;
            }
            if let Some(outbox) = self.outboxes.get(&to) {
                // A full link loses the message; replication sends again what was not confirmed.
                let _ = outbox.try_send(message);
            }
        }
    }

    fn report(&mut self) {
        let status = self.database.status();
        let current = Some((status.role, status.term));
        if current != self.reported {
            self.reported = current;
            let name = &self.database.settings.name;
            log::info!(
                "database {name}: {:?} in term {}",
                status.role,
                status.term.0
            );
        }
    }
}
