//! What the machine list tells in cases in which a database leaves.

use dyketally::identifiers::{DatabaseName, Locality, RegionName, ZoneName};
use dyketally_proxy::stores::machine_list::{Machine, MachineIdentity, MachineState, Machines};

use crate::testbed::Topology;

/// A list without machines: nothing is announced.
pub(super) fn no_machines() -> Machines {
    Machines::default()
}

/// A list with all databases, one of them leaving.
pub(super) fn announce(topology: &Topology, leaving: usize) -> Machines {
    let databases = topology.plan.databases.iter().enumerate();
    let machines = databases.map(|(number, database)| Machine {
        identity: MachineIdentity::Database(DatabaseName::new(database.name.as_str())),
        addresses: vec![database.listen],
        locality: Locality {
            region: RegionName::new(topology.site.region.as_str()),
            zone: ZoneName::new(database.zone.as_str()),
        },
        state: match number == leaving {
            true => MachineState::Leaving,
            false => MachineState::Live,
        },
    });
    Machines {
        machines: machines.collect(),
    }
}
