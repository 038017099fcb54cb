//! What the demo's steps act on: the running site and the first session.

use std::path::Path;
use std::time::Duration;

use dyketally::policy::Confirmation;

use crate::testbed::{AdminClient, Caller, Configuration, Group, Site, Tenant, Topology};

/// Time after which a caller of the demo gives up on a statement.
const PATIENCE: Duration = Duration::from_secs(10);

/// The tenant whose group stays whole until the failures begin.
pub const FIRST_TENANT: &str = "shops";

/// The tenant whose group the failures concern.
pub const SECOND_TENANT: &str = "warehouse";

/// A tenant of the first group whose writes are confirmed by the majority's term alone.
pub const TERM_TENANT: &str = "pickers";

/// The running site.
#[derive(Debug)]
pub struct Stage {
    /// Its processes.
    pub topology: Topology,
    /// What the proxies tell.
    pub admin: AdminClient,
    /// The session that goes through the steps.
    pub session: Caller,
    /// The value that the session wrote last, under the key of [`Stage::order_key`].
    pub written: Option<String>,
    proxies_started: Duration,
}

impl Stage {
    /// Starts everything: two groups of three databases in three zones, and three proxies.
    ///
    /// # Errors
    /// When a process can't be started or does not become ready.
    pub async fn set(directory: &Path) -> eyre::Result<Self> {
        clear(directory)?;
        let started = std::time::Instant::now();
        let mut topology = Topology::start(site(), directory).await?;
        topology.start_proxies().await?;
        let admin = AdminClient::new(&topology.plan)?;
        let session = Caller::new(topology.callers(FIRST_TENANT, PATIENCE), 0);
        Ok(Self {
            topology,
            admin,
            session,
            written: None,
            proxies_started: started.elapsed(),
        })
    }

    /// What was started.
    pub fn describe(&self) -> String {
        let plan = &self.topology.plan;
        format!(
            "{} databases in {} groups and {} zones, platform, relays and {} proxies as processes \
             after {:.1} s",
            plan.databases.len(),
            self.topology.site.groups.len(),
            self.topology.site.zones.len(),
            plan.proxies.len(),
            self.proxies_started.as_secs_f64()
        )
    }

    /// A caller of a tenant that begins at the proxy with this number.
    pub fn caller(&self, tenant: &str, proxy: usize) -> Caller {
        Caller::new(self.topology.callers(tenant, PATIENCE), proxy)
    }

    /// The group of the first tenant.
    pub fn first_group(&self) -> Group {
        self.topology.group(&self.topology.site.groups[0])
    }

    /// The group of the second tenant.
    pub fn second_group(&self) -> Group {
        self.topology.group(&self.topology.site.groups[1])
    }
}

fn site() -> Site {
    let mut site = Site::huber();
    site.name = String::from("demo");
    site.configuration = Configuration::Platform;
    site.groups.truncate(2);
    site.tenants.truncate(2);
    for (tenant, group) in site.tenants.iter_mut().zip(&site.groups) {
        tenant.group.clone_from(group);
    }
    let mut pickers = Tenant::new(TERM_TENANT, &site.groups[0]);
    pickers.confirmation = Confirmation::MajorityTerm;
    site.tenants.push(pickers);
    site
}

/// Logs of an earlier run would be mistaken for this one's.
fn clear(directory: &Path) -> eyre::Result<()> {
    match std::fs::remove_dir_all(directory) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error.into()),
        _ => Ok(()),
    }
}
