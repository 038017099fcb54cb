//! One node: edge and homes, assembled from settings, from start to planned stop.

mod shutdown;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{SystemTime, UNIX_EPOCH};

use dyketally::policy::PolicySet;
use eyre::WrapErr;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use shutdown::{StopReport, StopSignal};

use crate::edge::{CancelRegistry, Edge, EdgeCounters, EdgeLimits, request_path, serve_callers};
use crate::home::{AddressRoutes, HomeOptions};
use crate::homes::{Homes, SingleNode};
use crate::link::{LinkPool, LinkServer, serve_links};
use crate::settings::{Settings, load_configuration};

/// The addresses that a node listens on, with the ports it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For links of other nodes.
    pub peers: SocketAddr,
}

/// A node whose tasks run.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    addresses: BoundAddresses,
    edge: Edge,
    homes: Arc<Homes>,
    sessions: TaskTracker,
    listeners: CancellationToken,
    links: CancellationToken,
    _policies: watch::Sender<Arc<PolicySet>>,
}

impl Node {
    /// Binds the node's addresses and starts its tasks.
    ///
    /// # Errors
    /// An address can't be bound, or the configuration file is faulty.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        let policies = initial_policies(&settings)?;
        Self::start_with(settings, policies).await
    }

    /// Like [`Node::start`], with a configuration to begin with.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start_with(settings: Settings, policies: PolicySet) -> eyre::Result<Self> {
        let (policy_sender, policies) = watch::channel(Arc::new(policies));
        let callers = bind(settings.listen.callers, "listen.callers").await?;
        let peers = bind(settings.listen.peers, "listen.peers").await?;
        let addresses = BoundAddresses {
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
        };
        let homes = Arc::new(Homes::new(
            policies.clone(),
            Arc::new(SingleNode),
            LinkPool::new(settings.node.name.clone()),
            address_routes(&settings),
            HomeOptions::default(),
        ));
        let node = Self {
            edge: edge(&settings, policies, homes.clone()),
            homes,
            sessions: TaskTracker::new(),
            listeners: CancellationToken::new(),
            links: CancellationToken::new(),
            addresses,
            settings,
            _policies: policy_sender,
        };
        node.spawn_listeners(callers, peers);
        Ok(node)
    }

    /// The addresses that the node listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    fn spawn_listeners(&self, callers: TcpListener, peers: TcpListener) {
        tokio::spawn(serve_callers(
            callers,
            self.edge.clone(),
            self.sessions.clone(),
            self.listeners.clone(),
        ));
        let server = LinkServer {
            node: self.settings.node.name.clone(),
            homes: self.homes.clone(),
        };
        tokio::spawn(serve_links(peers, server, self.links.clone()));
    }
}

fn edge(settings: &Settings, policies: watch::Receiver<Arc<PolicySet>>, homes: Arc<Homes>) -> Edge {
    Edge {
        node: settings.node.name.clone(),
        incarnation: incarnation(),
        policies,
        path: request_path(settings.node.locality.clone(), homes.clone()),
        homes,
        cancels: CancelRegistry::default(),
        limits: EdgeLimits {
            longest_message: settings.limits.longest_message_bytes,
            callers_at_most: settings.limits.callers,
        },
        counters: Arc::new(EdgeCounters::default()),
        sessions: Arc::new(AtomicU64::new(0)),
        leaving: CancellationToken::new(),
    }
}

fn address_routes(settings: &Settings) -> AddressRoutes {
    let routes = settings.network.routes.iter();
    routes.map(|route| (route.to, route.via)).collect()
}

fn initial_policies(settings: &Settings) -> eyre::Result<PolicySet> {
    match &settings.configuration_file {
        Some(file) => Ok(load_configuration(file)?),
        None => Ok(PolicySet::default()),
    }
}

async fn bind(address: SocketAddr, field: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| {
        format!("can't listen on {address}; choose a free address of this machine in `{field}`")
    })
}

/// Milliseconds since 1970: greater than that of any earlier process of this node.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
}
