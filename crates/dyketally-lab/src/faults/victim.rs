//! Finds the process that a fault strikes.

use eyre::OptionExt;

use crate::testbed::{AdminClient, Group, Member, Topology, poll_until};

use super::case::Target;

/// A struck process, by its number in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Victim {
    /// A database.
    Database(usize),
    /// A proxy.
    Proxy(usize),
}

/// Time that the proxies have to tell which of them is a home.
const HOME_LIMIT: std::time::Duration = std::time::Duration::from_secs(10);

impl Victim {
    /// The process that is the target now.
    pub async fn find(topology: &Topology, group: &Group, target: Target) -> eyre::Result<Self> {
        match target {
            Target::Primary => {
                let primary = group.primary().await?;
                Ok(Self::Database(topology.database_number(&primary.name)?))
            }
            Target::Replica => {
                let replica = replica(group).await?;
                Ok(Self::Database(topology.database_number(&replica.name)?))
            }
            Target::Home => Ok(Self::Proxy(home(topology, group).await?)),
            Target::Edge => {
                let home = home(topology, group).await?;
                let proxies = 0..topology.proxies.len();
                let mut running = proxies.filter(|&proxy| topology.proxies[proxy].id().is_some());
                let edge = running.find(|&proxy| proxy != home);
                Ok(Self::Proxy(edge.ok_or_eyre("no other proxy runs")?))
            }
        }
    }

    /// The name of the process in the plan.
    pub fn name(self, topology: &Topology) -> &str {
        match self {
            Self::Database(number) => &topology.plan.databases[number].name,
            Self::Proxy(number) => &topology.plan.proxies[number].name,
        }
    }
}

/// The last member that does not lead, so that it is not the one beside the first proxy.
async fn replica(group: &Group) -> eyre::Result<Member> {
    let primary = group.primary().await?;
    let members = group.members.iter().rev();
    let mut replicas = members.filter(|member| member.name != primary.name);
    replicas
        .next()
        .cloned()
        .ok_or_eyre("the group has no replica")
}

/// The proxy that is home to the primary. A proxy that was home once goes on telling so; homes are
/// placed in the zone of their database first.
async fn home(topology: &Topology, group: &Group) -> eyre::Result<usize> {
    let primary = group.primary().await?;
    let admin = AdminClient::new(&topology.plan)?;
    let zone = &topology.plan.databases[topology.database_number(&primary.name)?].zone;
    let what = format!("home of {}", primary.name);
    let home = poll_until(&what, HOME_LIMIT, || async {
        let homes = admin.homes_of(&primary.name).await;
        let mut in_zone = homes.iter();
        let in_zone = in_zone.find(|&&proxy| topology.plan.proxies[proxy].zone == *zone);
        in_zone.or(homes.first()).copied()
    });
    Ok(home.await?)
}
