//! The ways that are compared, and where their callers connect.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use dyketally::policy::Confirmation;
use eyre::OptionExt;

use crate::bench::{
    AdminClient, CALLERS, Caller, CallerSettings, DATABASE, START_LIMIT, Tenant, Topology,
    poll_until,
};

/// Time after which a caller gives up on a statement; longer than the statements' deadline.
const PATIENCE: Duration = Duration::from_secs(5);

const POSITION_TENANT: &str = "by-position";
const TERM_TENANT: &str = "by-term";

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Way {
    /// Writes straight to the primary, over the link that its home uses.
    PrimaryWord,
    /// Writes through the proxy, confirmed by the term of a majority.
    MajorityTerm,
    /// Writes through the proxy, confirmed by the position of a majority.
    MajorityPosition,
    /// Reads in a session that knows what it has seen.
    ReadWithPosition,
    /// Reads in a session that knows nothing, as after roaming without a token.
    ReadWithoutPosition,
}

impl Way {
    /// All ways.
    pub(super) const ALL: [Way; 5] = [
        Way::PrimaryWord,
        Way::MajorityTerm,
        Way::MajorityPosition,
        Way::ReadWithPosition,
        Way::ReadWithoutPosition,
    ];

    /// True when it writes.
    pub(super) fn writes(self) -> bool {
        match self {
            Way::PrimaryWord | Way::MajorityTerm | Way::MajorityPosition => true,
            Way::ReadWithPosition | Way::ReadWithoutPosition => false,
        }
    }

    fn tenant(self) -> &'static str {
        match self {
            Way::MajorityTerm => TERM_TENANT,
            _ => POSITION_TENANT,
        }
    }
}

impl fmt::Display for Way {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Way::PrimaryWord => "primary's word",
            Way::MajorityTerm => "majority term",
            Way::MajorityPosition => "majority position",
            Way::ReadWithPosition => "read with a position",
            Way::ReadWithoutPosition => "read without a position",
        })
    }
}

/// One tenant for each kind of confirmation.
pub(super) fn tenants(group: &str) -> Vec<Tenant> {
    let tenant = |name, confirmation| Tenant {
        confirmation,
        ..Tenant::new(name, group)
    };
    vec![
        tenant(POSITION_TENANT, Confirmation::MajorityPosition),
        tenant(TERM_TENANT, Confirmation::MajorityTerm),
    ]
}

/// Where the callers connect.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// How they connect.
    pub(super) callers: CallerSettings,
    /// Where the primary, its home and the readers are, for the result.
    pub(super) place: String,
}

impl Target {
    /// Finds where callers of a way connect. Writers: to the proxy of the primary's home, or for
    /// the baseline to the primary over the same link as that proxy, with the same delay. Readers:
    /// to a proxy of another zone than the primary's.
    pub(super) async fn find(topology: &Topology, way: Way) -> eyre::Result<Self> {
        let Topology { plan, routes, .. } = topology;
        let primary = topology.group(&topology.site.groups[0]).primary().await?;
        let database = &plan.databases[topology.database_number(&primary.name)?];
        let home = &plan.proxies[home(topology, &primary.name).await?];
        let mut proxies = plan.proxies.iter();
        let reader = proxies.find(|proxy| proxy.zone != database.zone);
        let reader = reader.ok_or_eyre("all proxies are in one zone; use a site with more")?;
        let address = match way {
            Way::PrimaryWord => routes.via(&home.name, database.listen),
            Way::MajorityTerm | Way::MajorityPosition => routes.via(CALLERS, home.listen),
            Way::ReadWithPosition | Way::ReadWithoutPosition => routes.via(CALLERS, reader.listen),
        };
        Ok(Self {
            callers: callers(way, address),
            place: format!(
                "primary {} in {}, its home {} in {}, readers at {} in {}",
                database.name, database.zone, home.name, home.zone, reader.name, reader.zone
            ),
        })
    }
}

/// The number of the proxy that is the database's home. A home opens with its first statement.
async fn home(topology: &Topology, database: &str) -> eyre::Result<usize> {
    let admin = AdminClient::new(&topology.plan)?;
    let mut caller = Caller::new(topology.callers(POSITION_TENANT, PATIENCE), 0);
    let what = format!("home of {database}");
    let home = poll_until(&what, START_LIMIT, || async {
        admin.homes_of(database).await.first().copied()
    });
    // Read at the primary, since nothing was seen before.
    let (_, home) = tokio::join!(caller.texts("SELECT count(*) FROM stock"), home);
    Ok(home?)
}

fn callers(way: Way, address: SocketAddr) -> CallerSettings {
    CallerSettings {
        proxies: vec![address],
        tenant: way.tenant().to_owned(),
        database: DATABASE.to_owned(),
        patience: PATIENCE,
    }
}
