//! Starts the peers task, and lets the rest of the daemon talk to it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use dyketally::membership::{Addresses, Event, Incarnation, Membership, Record};
use dyketally::policy::Revision;
use tokio::net::UdpSocket;
use tokio::sync::{broadcast, mpsc, oneshot, watch};

use crate::clock;

use super::counters::PeersCounters;
use super::driver::{Command, Driver};
use super::settings::{PeersError, PeersSettings};
use super::view::View;

/// Events that a slow receiver may be behind; it then misses the oldest.
const EVENTS_KEPT: usize = 1_024;

/// Commands that may wait for the task.
const COMMANDS_KEPT: usize = 64;

/// The peers task.
#[derive(Clone, Copy, Debug)]
pub struct Peers;

impl Peers {
    /// Binds the socket and starts the task. It ends when all handles are dropped, or by
    /// [`PeersHandle::leave`] or [`PeersHandle::stop`].
    ///
    /// # Errors
    /// The address can't be bound, or the settings of membership can't work.
    pub async fn start(settings: PeersSettings) -> Result<PeersHandle, PeersError> {
        let address = settings.listen;
        let bind_error = |source| PeersError::Bind { address, source };
        let socket = UdpSocket::bind(address).await.map_err(bind_error)?;
        let bound = socket.local_addr().map_err(bind_error)?;
        let own = record(&settings, bound);
        let advertised = own.addresses.membership;
        let now = clock::now();
        let mut membership = Membership::new(settings.membership, own, rand::random(), now)?;
        membership.set_contacts(settings.seeds);
        let first_view = Arc::new(View::of(membership.members(), None));
        let (view_sender, view) = watch::channel(first_view);
        let (commands, command_receiver) = mpsc::channel(COMMANDS_KEPT);
        let (events, _) = broadcast::channel(EVENTS_KEPT);
        let counters = Arc::new(Mutex::new(PeersCounters::default()));
        let driver = Driver {
            socket,
            membership,
            routes: settings.routes,
            commands: command_receiver,
            view: view_sender,
            events: events.clone(),
            counters: counters.clone(),
            published: 0,
            published_states: 0,
            published_at: now,
        };
        tokio::spawn(driver.run());
        Ok(PeersHandle {
            address: advertised,
            commands,
            view,
            events,
            counters,
        })
    }
}

fn record(settings: &PeersSettings, bound: SocketAddr) -> Record {
    Record {
        node: settings.node.clone(),
        incarnation: Incarnation::of_start(settings.started),
        locality: settings.locality.clone(),
        addresses: Addresses {
            membership: settings.advertise.unwrap_or(bound),
            peers: settings.peers,
            admin: settings.admin,
        },
        weight: settings.weight,
        leaving: false,
    }
}

/// The way to the peers task. Clones share the task.
#[derive(Clone, Debug)]
pub struct PeersHandle {
    address: SocketAddr,
    commands: mpsc::Sender<Command>,
    view: watch::Receiver<Arc<View>>,
    events: broadcast::Sender<Event>,
    counters: Arc<Mutex<PeersCounters>>,
}

impl PeersHandle {
    /// The UDP address that others are told.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The members now.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// The members, with notice of changes.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Changes from now on. [`Event::Replaced`] means that the daemon must stop.
    pub fn events(&self) -> broadcast::Receiver<Event> {
        self.events.subscribe()
    }

    /// Counters since the start.
    pub fn counters(&self) -> PeersCounters {
        let counters = self.counters.lock();
        *counters.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the configuration revision that others are told.
    pub async fn set_revision(&self, revision: Revision) {
        self.send(Command::SetRevision(revision)).await;
    }

    /// Sets the addresses to join through: the seeds, and the platform's list of machines.
    pub async fn set_contacts(&self, contacts: Vec<SocketAddr>) {
        self.send(Command::SetContacts(contacts)).await;
    }

    /// Tells others that this node will leave: no new work is sent to it. Returns once told.
    pub async fn announce_leaving(&self) {
        let (done, told) = oneshot::channel();
        self.send(Command::AnnounceLeaving(done)).await;
        // A task that has ended has nothing left to tell.
        let _ = told.await;
    }

    /// Tells others that this node is gone, and ends the task. Returns once told.
    pub async fn leave(&self) {
        let (done, told) = oneshot::channel();
        self.send(Command::Leave(done)).await;
        // As above.
        let _ = told.await;
    }

    /// Ends the task without telling anyone, as a crash would.
    pub async fn stop(&self) {
        self.send(Command::Stop).await;
    }

    async fn send(&self, command: Command) {
        // A task that has ended needs no commands.
        let _ = self.commands.send(command).await;
    }
}
