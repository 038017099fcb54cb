//! Membership at the design size of 610 nodes, on a simulated network and clock: the bytes that each node sends and
//! receives, and the time until all nodes know of a death, are exact for a seed, whatever the load of the machine.

mod simulation;

use std::time::Duration;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::{Event, MemberState};
use dyketally::time::Timestamp;
use simulation::{Simulation, locality, name};

const NODES: usize = 610;
const REGIONS: usize = 3;
const SECOND: Duration = Duration::from_secs(1);

/// Upper bound for the control traffic of a node, sent and received, in bytes a second.
const CONTROL_BUDGET: f64 = 6_000.0;
/// Bytes that the headers of IP and UDP add to a datagram.
const HEADER_BYTES: u64 = 28;

/// Longest time until every node knows of a death.
const DEATH_KNOWN_WITHIN: Duration = Duration::from_secs(10);

/// Bytes that each running node has sent and received so far, headers included.
fn traffic(simulation: &Simulation) -> Vec<(NodeName, f64)> {
    let running = simulation.running();
    let traffic = running.into_iter().map(|name| {
        let node = &simulation.nodes[&name];
        let counters = node.membership.counters();
        let headers = HEADER_BYTES * (counters.sent + counters.received);
        let bytes = (node.bytes_sent + node.bytes_received) as u64 + headers;
        (name, bytes as f64)
    });
    traffic.collect()
}

/// Bytes a second of the median and of the worst node since `before`.
fn rates(simulation: &Simulation, before: &[(NodeName, f64)], duration: Duration) -> (f64, f64) {
    let now = traffic(simulation);
    let mut rates: Vec<f64> = Vec::new();
    for (name, bytes) in now {
        let earlier = before.iter().find(|(other, _)| *other == name);
        rates.extend(earlier.map(|(_, earlier)| (bytes - earlier) / duration.as_secs_f64()));
    }
    rates.sort_by(f64::total_cmp);
    (rates[rates.len() / 2], rates[rates.len() - 1])
}

/// Time from `since` until the last running node noticed that `node` died.
fn last_to_know(simulation: &Simulation, since: Timestamp, node: &NodeName) -> Duration {
    let died = Event::Died(node.clone());
    let times = simulation.running().into_iter().map(|observer| {
        let events = &simulation.nodes[&observer].events;
        let seen = events
            .iter()
            .find(|(at, event)| *at >= since && *event == died);
        let (at, _) = seen.unwrap_or_else(|| panic!("{observer} does not know that {node} died"));
        at.saturating_since(since)
    });
    times.max().unwrap_or_default()
}

fn is_mistaken(victims: &[NodeName]) -> impl Fn(&Event) -> bool {
    move |event| match event {
        Event::Suspected(node) | Event::Died(node) => !victims.contains(node),
        _ => false,
    }
}

#[test]
fn control_traffic_at_full_size_stays_within_its_budget() {
    let mut simulation = Simulation::new(21);
    for number in 0..NODES {
        simulation.start(
            name(number),
            locality(number % REGIONS, number / REGIONS % 2),
        );
    }
    let joined_after = run_until_all_known(&mut simulation);
    println!("all started at once: each knows all after {joined_after:?}");
    simulation.run_for(20 * SECOND);
    simulation.assert_agreement();

    let before = traffic(&simulation);
    let since = simulation.now;
    simulation.run_for(20 * SECOND);
    let (median, worst) = rates(&simulation, &before, 20 * SECOND);
    println!("at rest: {median:.0} bytes/s at the median, {worst:.0} at the worst");
    assert!(worst < CONTROL_BUDGET);
    assert_eq!(simulation.count(since, is_mistaken(&[])), 0);

    one_death(&mut simulation);
    zone_lost(&mut simulation);
}

/// Longest time until all nodes of a fleet that starts at once know each other.
const JOIN_LIMIT: Duration = Duration::from_secs(60);

fn run_until_all_known(simulation: &mut Simulation) -> Duration {
    let started_at = simulation.now;
    loop {
        simulation.run_for(SECOND);
        let took = simulation.now.saturating_since(started_at);
        let running = simulation.running();
        let known = |node| simulation.nodes[node].membership.members().len();
        if running.iter().all(|node| known(node) == NODES) {
            return took;
        }
        assert!(
            took < JOIN_LIMIT,
            "the nodes don't all know each other after {took:?}"
        );
    }
}

fn one_death(simulation: &mut Simulation) {
    let (victim, since) = (name(400), simulation.now);
    let before = traffic(simulation);
    simulation.kill(&victim);
    simulation.run_for(DEATH_KNOWN_WITHIN);
    let known = last_to_know(simulation, since, &victim);
    let (median, worst) = rates(simulation, &before, DEATH_KNOWN_WITHIN);
    println!("one death: known everywhere after {known:?}; {median:.0} / {worst:.0} bytes/s");
    assert!(worst < CONTROL_BUDGET);
    assert_eq!(simulation.count(since, is_mistaken(&[victim])), 0);
}

fn zone_lost(simulation: &mut Simulation) {
    let is_lost = |place: &Locality| *place == locality(0, 1);
    let mut victims = simulation.running();
    victims.retain(|node| is_lost(&simulation.nodes[node].locality));
    let (before, since) = (traffic(simulation), simulation.now);
    for victim in &victims {
        simulation.kill(victim);
    }
    let duration = 30 * SECOND;
    simulation.run_for(duration);
    let known = victims
        .iter()
        .map(|victim| last_to_know(simulation, since, victim));
    let known = known.max().unwrap_or_default();
    let (median, worst) = rates(simulation, &before, duration);
    let count = victims.len();
    println!("{count} deaths: known everywhere after {known:?}; {median:.0} / {worst:.0} bytes/s");
    assert!(worst < CONTROL_BUDGET);
    assert_eq!(simulation.count(since, is_mistaken(&victims)), 0);
    let observer = name(1);
    let state = simulation.state(&observer, &victims[0]);
    assert_eq!(state, Some(MemberState::Dead));
    simulation.assert_agreement();
}
