//! Follows the platform's machine list: nodes to join through, and databases that leave.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dyketally::identifiers::DatabaseName;
use tokio_util::sync::CancellationToken;

use crate::homes::Homes;
use crate::peers::PeersHandle;
use crate::stores::machine_list::{MachineIdentity, MachineState, Machines};
use crate::stores::{HttpMachineList, MachineList};

/// Time between two reads of the list; each is lengthened by up to half of it, so that nodes
/// don't read together. A leaving database gets no new work a few seconds after it is listed.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// What the list is followed for.
#[derive(Debug)]
pub(super) struct MachineFollower {
    pub seeds: Vec<SocketAddr>,
    pub peers: PeersHandle,
    pub homes: Arc<Homes>,
}

impl MachineFollower {
    /// Follows the list at `url` until `stop` is cancelled.
    ///
    /// # Errors
    /// The HTTP client can't be set up.
    pub fn start(self, url: &str, stop: CancellationToken) -> eyre::Result<()> {
        let list = HttpMachineList::new(url, READ_TIMEOUT)?;
        tokio::spawn(async move {
            tokio::select! {
                () = self.follow(list) => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(())
    }

    async fn follow(self, list: HttpMachineList) {
        let mut reachable = true;
        loop {
            match list.machines().await {
                Ok(machines) => {
                    self.apply(&machines).await;
                    reachable = true;
                }
                Err(error) if reachable => {
                    log::warn!("{error}");
                    reachable = false;
                }
                Err(_) => {}
            }
            let jitter = READ_INTERVAL.mul_f64(rand::random_range(0.0..0.5));
            tokio::time::sleep(READ_INTERVAL + jitter).await;
        }
    }

    async fn apply(&self, machines: &Machines) {
        let mut contacts = self.seeds.clone();
        contacts.extend(nodes_to_join(machines));
        self.peers.set_contacts(contacts).await;
        self.homes
            .set_leaving_databases(leaving_databases(machines));
    }
}

fn nodes_to_join(machines: &Machines) -> impl Iterator<Item = SocketAddr> {
    let live = machines.machines.iter().filter(|machine| {
        matches!(machine.identity, MachineIdentity::Proxy(_)) && machine.state == MachineState::Live
    });
    live.filter_map(|machine| machine.addresses.first().copied())
}

fn leaving_databases(machines: &Machines) -> HashSet<DatabaseName> {
    let leaving = machines
        .machines
        .iter()
        .filter(|machine| machine.state == MachineState::Leaving);
    let databases = leaving.filter_map(|machine| match &machine.identity {
        MachineIdentity::Database(database) => Some(database.clone()),
        MachineIdentity::Proxy(_) => None,
    });
    databases.collect()
}
