//! One process of the gateway, from start to planned stop: builds its parts from settings and adapters, and runs them.
//!
//! Owns the process's sockets and tasks. Relies on all other modules; none relies on it.

mod exposition;
mod listen;
mod metrics;
mod nodes_handler;
mod peer_requests;
mod readiness;
mod stop;
mod updates;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dyketally_store::KeyValueStore;
use eyre::WrapErr;
use futures::FutureExt;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

use self::listen::bind;
use self::peer_requests::RequestHandler;
use crate::event::Event;
use crate::fleet::listener::{self, ServeFeed};
use crate::fleet::membership::NodeRecord;
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;
use crate::gateway::Gateway;
use crate::ports::{
    PrimaryControl, ReadinessProtocol, SharedCallerProtocol, SharedDatabaseProtocol,
    StoredDocuments,
};
use crate::settings::Settings;
use crate::store::feed::{self, request_relays};
use crate::store::keys::StoreKeys;
use crate::store::liveness::Liveness;
use crate::store::metered_store::StoreCalls;
use crate::store::parts::StoreParts;
use crate::store::registration::Registration;
use crate::store::unconfirmed::log_unconfirmed;
use crate::succession::contact::ContactKeeper;
use crate::succession::coordinator::CoordinatorKeeper;
use crate::succession::failover::Failover;
use crate::succession::fence::FenceKeeper;

/// Pause between two calls of [`Gateway::run_periodic_tasks`].
const PERIODIC_TASKS_INTERVAL: Duration = Duration::from_secs(5);

/// The adapters through which the gateway reaches callers, databases, the store and the platform.
pub struct Adapters {
    /// The protocol of callers.
    pub callers: SharedCallerProtocol,
    /// The protocol of databases.
    pub databases: SharedDatabaseProtocol,
    /// The client of the store.
    pub store: Rc<dyn KeyValueStore>,
    /// The counters of calls to the store, if `store` is wrapped in a
    /// [`MeteredStore`](crate::store::metered_store::MeteredStore).
    pub store_calls: Arc<StoreCalls>,
    /// The names and encodings of the documents in the store.
    pub documents: Rc<dyn StoredDocuments>,
    /// The control plane that appoints primaries.
    pub control: Rc<dyn PrimaryControl>,
    /// The protocol of readiness probes.
    pub readiness: Rc<dyn ReadinessProtocol>,
}

/// Runs the process until it has stopped after a SIGTERM. Must be called within a `LocalSet`.
///
/// # Errors
/// An address can't be bound, or signals can't be received.
pub async fn run(settings: Settings, adapters: Adapters) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let caller_listener = bind(settings.listen.callers, "listen.callers").await?;
    let readiness_listener = bind(settings.listen.readiness, "listen.readiness").await?;
    let socket = UdpSocket::bind(settings.listen.peers)
        .await
        .wrap_err("can't listen on `listen.peers` (UDP); choose a free address of this machine")?;
    let peer_listener = bind(settings.listen.peers, "listen.peers").await?;
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
    let peers = Peers::new(gateway.access.clone(), socket);
    *gateway.fleet.peers.borrow_mut() = Some(peers.clone());
    let prefix = adapters.documents.own_prefix();
    let keys = Rc::new(StoreKeys::new(prefix, own_record(&gateway)));
    let parts = StoreParts {
        cx: gateway.cx.clone(),
        fleet: gateway.fleet.clone(),
        feed: gateway.feed.clone(),
        store: adapters.store.clone(),
        keys,
    };
    let registration = Registration::new(parts.clone());
    let fences = FenceKeeper::new(parts.clone(), gateway.databases.clone(), peers.clone());
    let liveness = Liveness::new(parts.clone(), peers.clone());
    let coordinator = CoordinatorKeeper::new(parts.clone(), peers.clone());
    let failover = Failover::new(
        gateway.databases.clone(),
        gateway.fleet.clone(),
        gateway.leadership.clone(),
        coordinator.clone(),
        peers.clone(),
        adapters.control,
        fences,
    );
    tokio::task::spawn_local(readiness::serve(
        gateway.clone(),
        adapters.readiness,
        readiness_listener,
    ));
    if let Some(listener) = metrics {
        tokio::task::spawn_local(metrics::serve(gateway.clone(), listener));
    }
    let feed = gateway.feed.clone();
    let serve_feed: ServeFeed =
        Rc::new(move |stream| feed::serve(feed.clone(), stream).boxed_local());
    tokio::task::spawn_local(listener::serve(
        gateway.access.clone(),
        serve_feed,
        peer_listener,
    ));
    let requests = Rc::new(RequestHandler(gateway.clone()));
    tokio::task::spawn_local(peers.clone().run(requests));
    let contact = ContactKeeper::new(gateway.fleet.clone(), gateway.feed.clone(), peers.clone());
    tokio::task::spawn_local(contact.run());
    tokio::task::spawn_local(gateway.leadership.grants.clone().run(peers.clone()));
    tokio::task::spawn_local(request_relays(gateway.feed.clone(), peers.clone()));
    tokio::task::spawn_local(failover.run());
    tokio::task::spawn_local(liveness.run());
    let registration_ended = tokio::task::spawn_local(registration.run());
    let coordination_ended = tokio::task::spawn_local(coordinator.run());
    tokio::task::spawn_local(run_periodic_tasks(gateway.clone()));
    tokio::task::spawn_local(log_unconfirmed(gateway.cx.clone(), gateway.feed.clone()));
    updates::watch_store(&gateway, &parts, &adapters.documents);
    let accepting =
        tokio::task::spawn_local(gateway.sessions.clone().serve_callers(caller_listener));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => gateway.cx.events.write(&Event::SettingsChanged {
                effect: "the current settings stay in use; restart the process to apply the changed file",
            }),
        }
    }
    let keys_released = futures::future::join(registration_ended, coordination_ended);
    stop::stop(&gateway, keys_released, accepting).await;
    peers.broadcast(&PeerMessage::NodeStopping {
        node: gateway.cx.settings.node.name.clone(),
    });
    Ok(())
}

/// Calls [`Gateway::run_periodic_tasks`] periodically until the process ends.
async fn run_periodic_tasks(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(PERIODIC_TASKS_INTERVAL).await;
        gateway.run_periodic_tasks();
    }
}

/// This node's record in the store, for other nodes.
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
