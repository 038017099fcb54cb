//! Starts all relays of a network, in this process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::control::{self, RouteEntry};
use super::link::{Link, LinkEnd, LinkState, Passage};
use super::relay::{Directions, Relay};
use super::settings::{Endpoint, NetworkSettings, SettingsError};

/// A network that can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings are faulty.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be bound.
    #[error("an address of the network can't be bound; pass a free one: {0}")]
    Bind(#[from] io::Error),
}

/// The state that the control requests act on.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) links: Vec<Link>,
    pub(crate) routes: Vec<RouteEntry>,
}

/// A running network; stopped when dropped.
#[derive(Debug)]
pub struct Network {
    control_address: SocketAddr,
    shared: Arc<Shared>,
    control_task: JoinHandle<()>,
    _relays: Vec<Relay>,
}

impl Network {
    /// Starts the relays of all pairs of processes and the control address.
    ///
    /// # Errors
    /// When the settings are faulty or an address can't be bound.
    pub async fn start(settings: &NetworkSettings) -> Result<Self, StartError> {
        settings.validate()?;
        let links = links(settings);
        let (relays, routes) = relays(settings, &links).await?;
        let listener = TcpListener::bind(settings.control).await?;
        let control_address = listener.local_addr()?;
        let shared = Arc::new(Shared { links, routes });
        let control_task = tokio::spawn(control::serve(listener, Arc::clone(&shared)));
        Ok(Self {
            control_address,
            shared,
            control_task,
            _relays: relays,
        })
    }

    /// Where control requests are answered.
    pub fn control_address(&self) -> SocketAddr {
        self.control_address
    }

    /// How each process reaches each other one.
    pub fn routes(&self) -> &[RouteEntry] {
        &self.shared.routes
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.control_task.abort();
    }
}

/// The ordered pairs of different processes.
fn pairs(endpoints: &[Endpoint]) -> impl Iterator<Item = (&Endpoint, &Endpoint)> {
    let from_each = endpoints.iter();
    from_each.flat_map(move |from| {
        let others = endpoints.iter().filter(move |to| to.name != from.name);
        others.map(move |to| (from, to))
    })
}

fn links(settings: &NetworkSettings) -> Vec<Link> {
    let new_link = |(from, to): (&Endpoint, &Endpoint)| {
        let initial = LinkState {
            delay: settings.delay(&from.zone, &to.zone),
            passage: Passage::Open,
        };
        Link {
            from: link_end(from),
            to: link_end(to),
            state: watch::Sender::new(initial),
        }
    };
    pairs(&settings.endpoints).map(new_link).collect()
}

fn link_end(endpoint: &Endpoint) -> LinkEnd {
    LinkEnd {
        name: endpoint.name.clone(),
        zone: endpoint.zone.clone(),
    }
}

async fn relays(
    settings: &NetworkSettings,
    links: &[Link],
) -> io::Result<(Vec<Relay>, Vec<RouteEntry>)> {
    let mut relays = Vec::new();
    let mut routes = Vec::new();
    for (source, destination) in pairs(&settings.endpoints) {
        for &to in &destination.addresses {
            let directions = directions(links, source, destination)?;
            let relay = Relay::start(to, directions).await?;
            routes.push(RouteEntry {
                source: source.name.clone(),
                destination: destination.name.clone(),
                to,
                via: relay.address(),
            });
            relays.push(relay);
        }
    }
    Ok((relays, routes))
}

fn directions(links: &[Link], near: &Endpoint, far: &Endpoint) -> io::Result<Directions> {
    let watch_link = |from: &Endpoint, to: &Endpoint| {
        let found = links
            .iter()
            .find(|link| link.from.name == from.name && link.to.name == to.name);
        let link = found.ok_or_else(|| io::Error::other("every pair of endpoints has a link"))?;
        Ok::<_, io::Error>(link.state.subscribe())
    };
    Ok(Directions {
        forward: watch_link(near, far)?,
        backward: watch_link(far, near)?,
    })
}
