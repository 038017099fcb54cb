//! The machine list: its lag and its outages.

use std::net::SocketAddr;

use dyketally::identifiers::{Locality, NodeName};
use dyketally_lab::platform::MachineListFaults;
use dyketally_proxy::stores::machine_list::{
    Machine, MachineIdentity, MachineListError, MachineState, Machines,
};
use rstest::rstest;

use crate::backend::{Backend, Implementation};

fn one(state: MachineState) -> Machines {
    let machine = Machine {
        identity: MachineIdentity::Proxy(NodeName::from("node-1")),
        addresses: vec![SocketAddr::from(([127, 0, 0, 1], 7000))],
        locality: Locality {
            region: "east".into(),
            zone: "east-1".into(),
        },
        state,
    };
    Machines {
        machines: vec![machine],
    }
}

const AN_HOUR_MILLISECONDS: u64 = 3_600_000;

#[rstest]
#[case::without_lag(0, MachineState::Leaving)]
#[case::with_lag(AN_HOUR_MILLISECONDS, MachineState::Live)]
#[tokio::test]
async fn the_list_tells_the_truth_of_some_time_ago(
    #[case] lag_milliseconds: u64,
    #[case] told: MachineState,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start_with(implementation, one(MachineState::Live)).await;
    assert_eq!(
        backend.machines().machines().await,
        Ok(one(MachineState::Live))
    );
    let faults = MachineListFaults {
        lag_milliseconds,
        unavailable: false,
    };
    backend.set_machine_list_faults(faults).await;
    backend.set_machines(one(MachineState::Leaving)).await;
    assert_eq!(backend.machines().machines().await, Ok(one(told)));
}

#[rstest]
#[tokio::test]
async fn an_outage_of_the_list_is_told_apart_from_an_empty_list(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    assert_eq!(backend.machines().machines().await, Ok(Machines::default()));
    let faults = MachineListFaults {
        unavailable: true,
        ..MachineListFaults::default()
    };
    backend.set_machine_list_faults(faults).await;
    let error = backend.machines().machines().await.expect_err("an outage");
    assert!(
        matches!(error, MachineListError::Unavailable { .. }),
        "{error}"
    );
    assert!(error.to_string().contains("go on with the last list"));
}
