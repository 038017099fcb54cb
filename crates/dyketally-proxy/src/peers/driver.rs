//! The task that drives membership on its socket.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use dyketally::membership::{Event, LONGEST_DATAGRAM, Membership, Message, Output, encode};
use dyketally::policy::Revision;
use dyketally::time::Timestamp;
use tokio::net::UdpSocket;
use tokio::sync::{broadcast, mpsc, oneshot, watch};

use crate::clock;

use super::counters::PeersCounters;
use super::view::View;

/// Least time between two views that differ in nothing but revisions.
const REVISION_VIEW_INTERVAL: Duration = Duration::from_secs(1);

/// Wait after an error of the socket, so that a lasting one costs no processor time.
const RECEIVE_RETRY: Duration = Duration::from_millis(100);

/// What the handles ask of the task.
#[derive(Debug)]
pub(super) enum Command {
    SetRevision(Revision),
    SetContacts(Vec<SocketAddr>),
    AnnounceLeaving(oneshot::Sender<()>),
    Leave(oneshot::Sender<()>),
    Stop,
}

/// Whether the task goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    GoOn,
    End,
}

/// The task's state.
pub(super) struct Driver {
    pub(super) socket: UdpSocket,
    pub(super) membership: Membership,
    pub(super) routes: HashMap<SocketAddr, SocketAddr>,
    pub(super) commands: mpsc::Receiver<Command>,
    pub(super) view: watch::Sender<Arc<View>>,
    pub(super) events: broadcast::Sender<Event>,
    pub(super) counters: Arc<Mutex<PeersCounters>>,
    /// Versions of the view that was published last, and when that was.
    pub(super) published: u64,
    pub(super) published_states: u64,
    pub(super) published_at: Timestamp,
}

impl Driver {
    /// Runs until told to end.
    pub(super) async fn run(mut self) {
        // One byte more than allowed, so that a longer datagram is seen to be too long.
        let mut buffer = [0; LONGEST_DATAGRAM + 1];
        loop {
            let deadline = self.membership.next_deadline();
            let step = tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    self.received(received, &buffer).await
                }
                command = self.commands.recv() => self.obey(command),
                () = sleep_until(deadline) => {
                    let outputs = self.membership.tick(clock::now());
                    self.carry_out(outputs);
                    Step::GoOn
                }
            };
            self.publish();
            if step == Step::End {
                return;
            }
        }
    }

    async fn received(&mut self, received: io::Result<(usize, SocketAddr)>, buffer: &[u8]) -> Step {
        match received {
            Ok((length, from)) => {
                self.count(|counters| counters.bytes_received += length as u64);
                let datagram = &buffer[..length];
                let handled = self
                    .membership
                    .handle_datagram(clock::now(), from, datagram);
                match handled {
                    Ok(outputs) => self.carry_out(outputs),
                    Err(error) => log::debug!("datagram from {from} dropped: {error}"),
                }
            }
            Err(error) => {
                self.count(|counters| counters.receive_failures += 1);
                log::debug!("can't receive: {error}");
                tokio::time::sleep(RECEIVE_RETRY).await;
            }
        }
        Step::GoOn
    }

    fn obey(&mut self, command: Option<Command>) -> Step {
        let now = clock::now();
        match command {
            Some(Command::SetRevision(revision)) => {
                let outputs = self.membership.set_revision(now, revision);
                self.carry_out(outputs);
            }
            Some(Command::SetContacts(contacts)) => self.membership.set_contacts(contacts),
            Some(Command::AnnounceLeaving(done)) => {
                let outputs = self.membership.announce_leaving(now);
                self.carry_out(outputs);
                // The asker may have stopped waiting.
                let _ = done.send(());
            }
            Some(Command::Leave(done)) => {
                let outputs = self.membership.leave(now);
                self.carry_out(outputs);
                // As above.
                let _ = done.send(());
                return Step::End;
            }
            Some(Command::Stop) | None => return Step::End,
        }
        Step::GoOn
    }

    fn carry_out(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(to, &message),
                Output::Event(event) => self.tell(event),
            }
        }
    }

    /// Sends without waiting: a datagram that can't be sent now is as good as lost.
    fn send(&mut self, to: SocketAddr, message: &Message) {
        let to = self.routes.get(&to).copied().unwrap_or(to);
        let sent = encode(message)
            .map_err(io::Error::other)
            .and_then(|datagram| self.socket.try_send_to(&datagram, to));
        self.count(|counters| match sent {
            Ok(length) => counters.bytes_sent += length as u64,
            Err(_) => counters.send_failures += 1,
        });
    }

    fn tell(&mut self, event: Event) {
        log_event(&event);
        // Without receivers there is nobody to tell.
        let _ = self.events.send(event);
    }

    fn publish(&mut self) {
        let membership = self.membership.counters();
        self.count(|counters| counters.membership = membership);
        let version = self.membership.view_version();
        if version == self.published {
            return;
        }
        let now = clock::now();
        let states = self.membership.state_version();
        let is_urgent = states != self.published_states;
        if !is_urgent && now.saturating_since(self.published_at) < REVISION_VIEW_INTERVAL {
            return;
        }
        let previous = self.view.borrow().clone();
        let view = View::of(self.membership.members(), Some(&previous));
        self.view.send_replace(Arc::new(view));
        self.published = version;
        self.published_states = states;
        self.published_at = now;
    }

    fn count(&self, change: impl FnOnce(&mut PeersCounters)) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut counters);
    }
}

async fn sleep_until(deadline: Option<Timestamp>) {
    match deadline {
        Some(deadline) => tokio::time::sleep(deadline.saturating_since(clock::now())).await,
        None => std::future::pending().await,
    }
}

fn log_event(event: &Event) {
    match event {
        Event::Joined(node) => log::info!("node {node} joined"),
        Event::Suspected(node) => log::debug!("node {node} is suspected"),
        Event::Refuted(node) => log::debug!("node {node} refuted a suspicion"),
        Event::Died(node) => log::info!("node {node} is held dead"),
        Event::Leaving(node) => log::info!("node {node} is leaving"),
        Event::Left(node) => log::info!("node {node} left"),
        Event::Returned(node) => log::info!("node {node}, held dead, lives"),
        Event::RevisionSeen { .. } => {}
        Event::RegionUnreachable(region) => log::warn!("region {region} is unreachable"),
        Event::RegionReachable(region) => log::info!("region {region} is reachable again"),
        Event::Paused(gap) => log::warn!(
            "this process was paused for {} ms; give it more processor time if that recurs",
            gap.as_millis()
        ),
        Event::Replaced => log::error!(
            "a newer process runs under this node's name; stop one of the two or rename it"
        ),
    }
}
