//! One process of the gateway, assembled from settings and adapters, from start to planned stop.
//!
//! Owns the process's sockets and tasks; relies on all other parts, and nothing relies on it.

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
use crate::store::feed::{self, ask_seeds};
use crate::store::keys::Keys;
use crate::store::liveness::Liveness;
use crate::store::metered_store::StoreCalls;
use crate::store::parts::StoreParts;
use crate::store::registration::Registration;
use crate::store::unconfirmed::log_unconfirmed;
use crate::succession::contact::ContactKeeper;
use crate::succession::coordinator::CoordinatorKeeper;
use crate::succession::failover::Failover;
use crate::succession::fence::FenceKeeper;

/// Pause between two rounds of tidying up.
const TIDY_INTERVAL: Duration = Duration::from_secs(5);

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
    let forwarded = bind(settings.listen.peers, "listen.peers").await?;
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
    let keys = Rc::new(Keys::new(prefix, own_record(&gateway)));
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
        probes,
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
        forwarded,
    ));
    let requests = Rc::new(RequestHandler(gateway.clone()));
    tokio::task::spawn_local(peers.clone().run(requests));
    let contact = ContactKeeper::new(gateway.fleet.clone(), gateway.feed.clone(), peers.clone());
    tokio::task::spawn_local(contact.run());
    tokio::task::spawn_local(gateway.leadership.grants.clone().run(peers.clone()));
    tokio::task::spawn_local(ask_seeds(gateway.feed.clone(), peers.clone()));
    tokio::task::spawn_local(failover.run());
    tokio::task::spawn_local(liveness.run());
    let registered = tokio::task::spawn_local(registration.run());
    let coordinating = tokio::task::spawn_local(coordinator.run());
    tokio::task::spawn_local(tidy(gateway.clone()));
    tokio::task::spawn_local(log_unconfirmed(gateway.cx.clone(), gateway.feed.clone()));
    updates::watch_store(&gateway, &parts, &adapters.documents);
    let accepting = tokio::task::spawn_local(gateway.sessions.clone().serve_callers(callers));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => gateway.cx.events.write(&Event::SettingsChanged {
                effect: "the settings in force stay; restart the process to apply the file",
            }),
        }
    }
    let left = futures::future::join(registered, coordinating);
    stop::stop(&gateway, left, accepting).await;
    peers.broadcast(&PeerMessage::Ends {
        node: gateway.cx.settings.node.name.clone(),
    });
    Ok(())
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
