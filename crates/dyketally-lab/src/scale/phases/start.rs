//! Start of the fleet, rest, and placement.

use std::time::{Duration, Instant};

use dyketally::identifiers::NodeName;
use dyketally::placement::home;
use dyketally_proxy::peers::LiveNode;
use eyre::OptionExt;

use crate::scale::fleet::Fleet;
use crate::scale::layout::database;
use crate::scale::result::{Moved, Timing};

/// Starts all nodes at once and waits until each knows all.
///
/// # Errors
/// When the system has no ports left, or the nodes don't find each other in time.
pub async fn start_all(
    fleet: &mut Fleet,
    count: usize,
    patience: Duration,
) -> eyre::Result<Vec<Timing>> {
    let begun = Instant::now();
    for number in 0..count {
        fleet.start(number).await?;
    }
    let agreed = fleet.wait_until(patience, Fleet::agrees).await;
    agreed.ok_or_eyre("the nodes did not find each other in time; use fewer nodes")?;
    let what = "all started at once until each knows all";
    Ok(vec![Timing::of(what, &[Some(begun.elapsed())])])
}

/// Does nothing for a while.
///
/// # Errors
/// None; the signature is that of all phases.
pub async fn quiet(duration: Duration) -> eyre::Result<Vec<Timing>> {
    tokio::time::sleep(duration).await;
    Ok(Vec::new())
}

/// Computes all homes at one node, with and without one of the homes.
///
/// # Errors
/// When there are no nodes.
pub fn placement(fleet: &Fleet) -> eyre::Result<Moved> {
    let node = fleet.nodes.values().next().ok_or_eyre("no nodes run")?;
    let live = node.peers.view().live.clone();
    let begun = Instant::now();
    let before = homes(fleet.databases, live.nodes());
    let milliseconds_for_all = begun.elapsed().as_secs_f64() * 1_000.0;
    let departed = before
        .first()
        .cloned()
        .ok_or_eyre("there are no databases")?;
    let mut staying = live.nodes().to_vec();
    staying.retain(|node| node.node != departed);
    let after = homes(fleet.databases, &staying);
    let changed = before.iter().zip(&after).filter(|(old, new)| old != new);
    Ok(Moved {
        databases: fleet.databases,
        of_departed: before.iter().filter(|home| **home == departed).count(),
        needless: changed.filter(|(old, _)| **old != departed).count(),
        milliseconds_for_all,
    })
}

fn homes(databases: usize, nodes: &[LiveNode]) -> Vec<NodeName> {
    let homes = (0..databases).filter_map(|number| {
        let (database, locality) = database(number);
        home(&database, &locality, nodes.iter().map(LiveNode::candidate)).cloned()
    });
    homes.collect()
}
