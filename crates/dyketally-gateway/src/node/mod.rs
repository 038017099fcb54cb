//! One process of the gateway, assembled from settings and adapters, from start to planned stop.

mod exposition;
mod metrics;
mod nodes_handler;
mod readiness;

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dyketally::directory::{Announcement, DirectoryChange};
use dyketally::identifiers::ZoneName;
use dyketally_store::KeyValueStore;
use dyketally_store::key_value::{Entry, Key, WatchEvent};
use eyre::WrapErr;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::Instant;

use self::nodes_handler::NodesHandler;
use crate::context::StopPhase;
use crate::event::Event;
use crate::fleet::membership::NodeRecord;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::fleet::relay;
use crate::gateway::Gateway;
use crate::ports::{
    PrimaryControl, ReadinessProtocol, SharedCallerProtocol, SharedDatabaseProtocol,
    StoredDocuments,
};
use crate::session;
use crate::settings::Settings;
use crate::store::feed::{Subject, Subscriber, UpdateHandler, ask_seeds};
use crate::store::keys::Keys;
use crate::store::liveness::Liveness;
use crate::store::metered_store::StoreCalls;
use crate::store::parts::StoreParts;
use crate::store::registration::Registration;
use crate::store::unconfirmed::log_unconfirmed;
use crate::store::watch::{FirstRead, Gathering, Watched, Watcher};
use crate::succession::coordinator::CoordinatorKeeper;
use crate::succession::failover::Failover;
use crate::succession::fence::FenceKeeper;
use crate::succession::lead::keep_in_touch;
use crate::succession::short_contact::keep_short_contact;
use dyketally_store::update::StoreUpdate;

/// Pause between two rounds of tidying up.
const TIDY_INTERVAL: Duration = Duration::from_secs(5);
/// Share of the time to stop after which the process ends whatever is open.
const STOP_SHARE: f64 = 0.85;
/// Share of the time to stop that open transactions get.
const TRANSACTIONS_SHARE: f64 = 0.52;
/// How long probes take to notice that the node isn't ready, and callers to go elsewhere.
const NOTICED_AFTER: Duration = Duration::from_millis(2_300);
/// How long giving back the node's keys may take.
const LEAVE_LIMIT: Duration = Duration::from_millis(500);
/// Pause after databases changed before further changes are taken in, for each database.
const ANNOUNCEMENTS_GATHERING: Duration = Duration::from_millis(20);
/// Pause after nodes came or went before further ones are taken in, for each node.
const NODES_GATHERING: Duration = Duration::from_millis(14);
/// Pause between two looks whether all sessions have ended.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// What connects the gateway to the world around it.
pub struct Adapters {
    /// The protocol of callers.
    pub callers: SharedCallerProtocol,
    /// The protocol of databases.
    pub databases: SharedDatabaseProtocol,
    /// The store.
    pub store: Rc<dyn KeyValueStore>,
    /// What a [`MeteredStore`](crate::store::metered_store::MeteredStore) around it counts.
    pub store_calls: Arc<StoreCalls>,
    /// What lies in the store.
    pub documents: Rc<dyn StoredDocuments>,
    /// Who appoints primaries.
    pub control: Rc<dyn PrimaryControl>,
    /// How readiness is asked for.
    pub readiness: Rc<dyn ReadinessProtocol>,
}

/// Runs the process until it is told to stop. Must be called within a `LocalSet`.
///
/// # Errors
/// An address can't be bound, or signals can't be received.
pub async fn run(settings: Settings, adapters: Adapters) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let callers = bind(settings.listen.callers, "listen.callers").await?;
    let probes = bind(settings.listen.readiness, "listen.readiness").await?;
    let socket = UdpSocket::bind(settings.listen.peers)
        .await
        .wrap_err("can't listen on `listen.peers`; choose a free address of this machine")?;
    let relayed = bind(settings.listen.peers, "listen.peers").await?;
    let metrics = match settings.listen.metrics {
        Some(address) => Some(bind(address, "listen.metrics").await?),
        None => None,
    };
    let gateway = Gateway::new(
        settings,
        adapters.callers,
        adapters.databases,
        adapters.store_calls,
    );
    gateway.cx.events.write(&Event::Started {
        node: gateway.cx.settings.node.name.as_str(),
    });
    let peers = Peers::new(gateway.clone(), socket);
    *gateway.fleet.peers.borrow_mut() = Some(peers.clone());
    let prefix = adapters.documents.own_prefix();
    let keys = Rc::new(Keys::new(prefix, own_record(&gateway)));
    let parts = StoreParts {
        cx: gateway.cx.clone(),
        fleet: gateway.fleet.clone(),
        feed: gateway.feed.clone(),
        store: adapters.store.clone(),
        keys,
    };
    let registration = Registration::new(parts.clone());
    let fences = FenceKeeper::new(gateway.clone(), parts.clone(), peers.clone());
    let liveness = Liveness::new(parts.clone(), peers.clone());
    let coordinator = CoordinatorKeeper::new(parts.clone(), peers.clone());
    let failover = Failover::new(
        gateway.clone(),
        coordinator.clone(),
        peers.clone(),
        adapters.control,
        fences,
    );
    tokio::task::spawn_local(readiness::serve(
        gateway.clone(),
        adapters.readiness,
        probes,
    ));
    if let Some(listener) = metrics {
        tokio::task::spawn_local(metrics::serve(gateway.clone(), listener));
    }
    tokio::task::spawn_local(relay::serve(gateway.clone(), relayed));
    tokio::task::spawn_local(peers.clone().run());
    tokio::task::spawn_local(keep_in_touch(gateway.clone(), peers.clone()));
    tokio::task::spawn_local(keep_short_contact(gateway.clone(), peers.clone()));
    tokio::task::spawn_local(ask_seeds(gateway.feed.clone(), peers.clone()));
    tokio::task::spawn_local(failover.run());
    tokio::task::spawn_local(liveness.run());
    let registered = tokio::task::spawn_local(registration.run());
    let coordinating = tokio::task::spawn_local(coordinator.run());
    tokio::task::spawn_local(tidy(gateway.clone()));
    tokio::task::spawn_local(log_unconfirmed(gateway.cx.clone(), gateway.feed.clone()));
    watch_store(&gateway, &parts, &adapters.documents);
    let accepting = tokio::task::spawn_local(accept(gateway.clone(), callers));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => gateway.cx.events.write(&Event::SettingsChanged {
                effect: "the settings in force stay; restart the process to apply the file",
            }),
        }
    }
    let left = futures::future::join(registered, coordinating);
    stop(&gateway, left, accepting).await;
    peers.broadcast(&PeerMessage::Ends {
        node: gateway.cx.settings.node.name.clone(),
    });
    Ok(())
}

async fn bind(address: std::net::SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| {
        format!("can't listen on {address}; choose a free address of this machine in `{field}`")
    })
}

async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => session::accept(&gateway, stream),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn tidy(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(TIDY_INTERVAL).await;
        gateway.tidy();
    }
}

/// What other nodes have to know of this one.
fn own_record(gateway: &Gateway) -> NodeRecord {
    let settings = &gateway.cx.settings;
    NodeRecord {
        node: settings.node.name.clone(),
        address: settings.listen.peers,
        locality: settings.own_locality(),
        weight: settings.node.weight(),
        link: settings.node.link(),
    }
}

/// Stops as planned. `left` ends once the node's keys are given back.
async fn stop(gateway: &Rc<Gateway>, left: impl Future, accepting: tokio::task::JoinHandle<()>) {
    let began = Instant::now();
    let bound = gateway.cx.settings.bounds.stop();
    let last = began + bound.mul_f64(STOP_SHARE);
    let transactions = began + bound.mul_f64(TRANSACTIONS_SHARE);
    gateway.cx.events.write(&Event::Stopping {
        sessions: gateway.sessions.open(),
    });
    gateway.cx.stop.enter(StopPhase::Leaving);
    // The leases run out by themselves if the store doesn't answer.
    let _ = tokio::time::timeout(LEAVE_LIMIT, left).await;
    tokio::time::sleep_until((began + NOTICED_AFTER).min(transactions)).await;
    accepting.abort();
    gateway.cx.stop.enter(StopPhase::ClosingSessions);
    wait_for_sessions(gateway, transactions).await;
    gateway.cx.stop.enter(StopPhase::EndingTransactions);
    wait_for_sessions(gateway, last).await;
    gateway.tell_counters();
    gateway.cx.events.write(&Event::Traffic {
        sent_bytes: gateway.fleet.traffic.by_node(),
    });
    gateway.cx.events.write(&Event::Stopped {
        sessions: gateway.sessions.open(),
    });
}

async fn wait_for_sessions(gateway: &Rc<Gateway>, until: Instant) {
    while gateway.sessions.open() + gateway.fleet.calls.get() > 0 && Instant::now() < until {
        tokio::time::sleep(STOP_LOOK).await;
    }
}

/// Starts to watch the store, and to follow relays instead where there are any.
fn watch_store(gateway: &Rc<Gateway>, parts: &StoreParts, documents: &Rc<dyn StoredDocuments>) {
    let reader = Reader {
        gateway: gateway.clone(),
        documents: documents.clone(),
    };
    let configuration = reader.clone();
    let configuration: UpdateHandler =
        Rc::new(move |update| configuration.take_configuration(update));
    let announcements: UpdateHandler = Rc::new(move |update| reader.take_announcements(update));
    let nodes = NodesHandler::new(gateway.clone(), parts.keys.clone());
    let nodes: UpdateHandler = Rc::new(move |update| nodes.receive(update));
    let readiness = gateway.clone();
    let is_ready: Rc<dyn Fn() -> bool> = Rc::new(move || readiness.is_ready());
    let watch = |watched, handler: &UpdateHandler| {
        let watcher = Watcher::new(parts.clone(), watched, handler.clone(), is_ready.clone());
        tokio::task::spawn_local(watcher.run());
    };
    let watched = Watched {
        prefix: documents.operators_prefix(),
        gathering: Gathering::Bursts,
        subject: Subject::Configuration,
        first: FirstRead::Stale,
    };
    watch(watched, &configuration);
    let watched = Watched {
        prefix: documents.announcements_prefix(),
        gathering: Gathering::PerKey(ANNOUNCEMENTS_GATHERING),
        subject: Subject::Announcements,
        // An old list may name a primary that was replaced meanwhile.
        first: FirstRead::Newest,
    };
    watch(watched, &announcements);
    let watched = Watched {
        prefix: documents.own_prefix(),
        gathering: Gathering::PerKey(NODES_GATHERING),
        subject: Subject::Nodes,
        first: FirstRead::Stale,
    };
    watch(watched, &nodes);
    let handlers = HashMap::from([
        (Subject::Configuration, configuration),
        (Subject::Announcements, announcements),
        (Subject::Nodes, nodes),
    ]);
    let subscriber = Subscriber::new(parts.clone(), handlers);
    tokio::task::spawn_local(subscriber.run());
}

#[derive(Clone)]
struct Reader {
    gateway: Rc<Gateway>,
    documents: Rc<dyn StoredDocuments>,
}

impl Reader {
    fn take_configuration(&self, update: StoreUpdate) {
        match update {
            StoreUpdate::All(entries) => {
                for entry in &entries {
                    self.put_in_force(entry);
                }
                let zones = entries
                    .iter()
                    .filter_map(|entry| self.evacuated(&entry.key));
                self.gateway.evacuations_are(&zones.collect());
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => {
                self.put_in_force(&entry);
                if let Some(zone) = self.evacuated(&entry.key) {
                    self.gateway.evacuation_requested(zone);
                }
            }
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(zone) = self.evacuated(&key) {
                    self.gateway.evacuation_taken_back(&zone);
                }
            }
        }
    }

    fn evacuated(&self, key: &Key) -> Option<ZoneName> {
        self.documents.evacuated_zone(&key.to_string())
    }

    fn put_in_force(&self, entry: &Entry) {
        if entry.key != Key::from(self.documents.configuration_key()) {
            return;
        }
        match self.documents.configuration(&entry.value) {
            Ok(routes) => self.gateway.put_in_force(routes, entry.modified),
            Err(reason) => self.refuse(&entry.key, &reason),
        }
    }

    fn take_announcements(&self, update: StoreUpdate) {
        let now = self.gateway.cx.now();
        let changes: Vec<DirectoryChange> = match update {
            StoreUpdate::All(entries) => {
                let listed = entries.iter().filter_map(|entry| self.announcement(entry));
                let listed: Vec<Announcement> = listed.collect();
                self.gateway.listed_now();
                self.doubt_unlisted(&listed);
                let replaced = listed.clone();
                let changes = self
                    .gateway
                    .databases
                    .directory
                    .borrow_mut()
                    .replaced(now, replaced);
                listed.iter().for_each(|it| self.gateway.heard_of_start(it));
                changes
            }
            StoreUpdate::Changed(WatchEvent::Put(entry)) => {
                let Some(announcement) = self.announcement(&entry) else {
                    return;
                };
                let mut directory = self.gateway.databases.directory.borrow_mut();
                let change = directory.announced(now, announcement.clone());
                drop(directory);
                self.gateway.heard_of_start(&announcement);
                change.into_iter().collect()
            }
            StoreUpdate::Changed(WatchEvent::Deleted { key, .. }) => {
                if let Some(name) = self.documents.announced_database(&key.to_string()) {
                    self.gateway
                        .databases
                        .directory
                        .borrow_mut()
                        .vanished(now, &name);
                    self.gateway.start_is_unknown(&name);
                }
                Vec::new()
            }
        };
        if !changes.is_empty() {
            self.gateway.directory_changed(changes);
        }
        self.gateway.settle_unlisted_later();
    }

    fn doubt_unlisted(&self, listed: &[Announcement]) {
        for (name, loading) in self.gateway.databases.loadings() {
            if listed
                .iter()
                .all(|announcement| announcement.database != name)
            {
                loading.doubted();
            }
        }
    }

    fn announcement(&self, entry: &Entry) -> Option<Announcement> {
        let read = self
            .documents
            .announcement(&entry.key.to_string(), &entry.value);
        match read {
            Ok(announcement) => Some(announcement),
            Err(reason) => {
                self.refuse(&entry.key, &reason);
                None
            }
        }
    }

    fn refuse(&self, key: &Key, reason: &str) {
        self.gateway.cx.events.write(&Event::DocumentRefused {
            key: &key.to_string(),
            reason,
        });
    }
}
