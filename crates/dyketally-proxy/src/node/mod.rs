//! One node: edge and homes, assembled from settings, from start to planned stop.

mod configuration;
mod machines;
mod membership_watcher;
mod placement;
mod shutdown;
mod status;

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

use configuration::NodeConfiguration;
use machines::MachineFollower;
use membership_watcher::MembershipWatcher;
use placement::MemberPlacement;
pub use shutdown::{StopReport, StopSignal};
use status::NodeReport;

use crate::edge::{
    CancelRegistry, Edge, EdgeCounters, EdgeLimits, Leaving, request_path, serve_callers,
};
use crate::home::{AddressRoutes, HomeOptions};
use crate::homes::Homes;
use crate::link::{LinkPool, LinkServer, serve_links};
use crate::peers::{Peers, PeersHandle, PeersSettings};
use crate::settings::Settings;

/// The addresses that a node listens on, with the ports it was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For links of other nodes.
    pub peers: SocketAddr,
    /// For membership (UDP), as other nodes are told.
    pub membership: SocketAddr,
    /// For operators (HTTP).
    pub admin: SocketAddr,
}

/// A node whose tasks run.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    addresses: BoundAddresses,
    edge: Edge,
    homes: Arc<Homes>,
    membership: PeersHandle,
    sessions: TaskTracker,
    listeners: CancellationToken,
    links: CancellationToken,
    replaced: CancellationToken,
    configuration: NodeConfiguration,
}

impl Node {
    /// Binds the node's addresses and starts its tasks.
    ///
    /// # Errors
    /// An address can't be bound, or the configuration file is faulty.
    pub async fn start(settings: Settings) -> eyre::Result<Self> {
        let configuration = NodeConfiguration::of(&settings)?;
        Self::assemble(settings, configuration).await
    }

    /// Like [`Node::start`], with a fixed configuration.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn start_with(settings: Settings, policies: PolicySet) -> eyre::Result<Self> {
        Self::assemble(settings, NodeConfiguration::fixed(policies)).await
    }

    async fn assemble(
        settings: Settings,
        mut configuration: NodeConfiguration,
    ) -> eyre::Result<Self> {
        let policies = configuration.policies.clone();
        let callers = bind(settings.listen.callers, "listen.callers").await?;
        let peers = bind(settings.listen.peers, "listen.peers").await?;
        let admin = bind(settings.listen.admin, "listen.admin").await?;
        let incarnation = incarnation();
        let routes = address_routes(&settings);
        let mut peers_settings = peers_settings(&settings, incarnation);
        peers_settings.peers = advertised(settings.advertise.peers, &peers)?;
        peers_settings.admin = admin.local_addr()?;
        let membership = Peers::start(peers_settings).await?;
        configuration.join(&settings, &membership);
        let addresses = BoundAddresses {
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
            membership: membership.address(),
            admin: admin.local_addr()?,
        };
        let placement = MemberPlacement::new(
            settings.node.name.clone(),
            membership.clone(),
            routes.clone(),
        );
        let homes = Arc::new(Homes::new(
            policies.clone(),
            Arc::new(placement),
            LinkPool::new(settings.node.name.clone()),
            routes,
            HomeOptions::default(),
        ));
        let node = Self {
            edge: edge(&settings, incarnation, policies, homes.clone()),
            membership,
            homes,
            sessions: TaskTracker::new(),
            listeners: CancellationToken::new(),
            links: CancellationToken::new(),
            replaced: CancellationToken::new(),
            addresses,
            settings,
            configuration,
        };
        node.spawn_listeners(callers, peers, admin);
        node.spawn_membership_watcher();
        node.follow_machines()?;
        Ok(node)
    }

    /// The addresses that the node listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    fn spawn_listeners(&self, callers: TcpListener, peers: TcpListener, admin: TcpListener) {
        tokio::spawn(serve_callers(
            callers,
            self.edge.clone(),
            self.sessions.clone(),
            self.listeners.clone(),
        ));
        let server = LinkServer {
            node: self.settings.node.name.clone(),
            homes: self.homes.clone(),
            configuration: self.configuration.dissemination.clone(),
        };
        tokio::spawn(serve_links(peers, server, self.links.clone()));
        let report = Arc::new(NodeReport {
            node: self.settings.node.name.clone(),
            locality: self.settings.node.locality.clone(),
            policies: self.edge.policies.clone(),
            edge: self.edge.clone(),
            homes: self.homes.clone(),
            peers: self.membership.clone(),
        });
        tokio::spawn(crate::admin::serve(admin, report, self.links.clone()));
    }

    fn follow_machines(&self) -> eyre::Result<()> {
        let Some(url) = &self.settings.platform.machines else {
            return Ok(());
        };
        let follower = MachineFollower {
            seeds: self.settings.membership.seeds.clone(),
            peers: self.membership.clone(),
            homes: self.homes.clone(),
        };
        follower.start(&url.to_string(), self.links.clone())
    }

    /// Waits until a newer process runs under this node's name: this one must stop.
    pub async fn replaced(&self) {
        self.replaced.cancelled().await;
    }

    fn spawn_membership_watcher(&self) {
        let watcher = MembershipWatcher {
            peers: self.membership.clone(),
            homes: self.homes.clone(),
            replaced: self.replaced.clone(),
        };
        tokio::spawn(watcher.run());
    }
}

fn edge(
    settings: &Settings,
    incarnation: u64,
    policies: watch::Receiver<Arc<PolicySet>>,
    homes: Arc<Homes>,
) -> Edge {
    Edge {
        node: settings.node.name.clone(),
        incarnation,
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
        leaving: Leaving::default(),
    }
}

fn address_routes(settings: &Settings) -> AddressRoutes {
    let routes = settings.network.routes.iter();
    routes.map(|route| (route.to, route.via)).collect()
}

fn peers_settings(settings: &Settings, incarnation: u64) -> PeersSettings {
    let node = settings.node.name.clone();
    let locality = settings.node.locality.clone();
    let routes = settings.network.routes.iter();
    PeersSettings {
        listen: settings.listen.membership,
        advertise: settings.advertise.membership,
        seeds: settings.membership.seeds.clone(),
        routes: routes.map(|route| (route.to, route.via)).collect(),
        ..PeersSettings::on_loopback(node, locality, incarnation)
    }
}

fn advertised(setting: Option<SocketAddr>, listener: &TcpListener) -> std::io::Result<SocketAddr> {
    setting.map_or_else(|| listener.local_addr(), Ok)
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
