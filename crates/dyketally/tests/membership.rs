//! Membership: fault cases on a simulated network.

mod simulation;

use std::net::SocketAddr;
use std::time::Duration;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::{
    Body, Config, Event, InvalidConfig, MemberState, Message, Update, decode, encode,
};
use dyketally::time::Timestamp;
use rstest::rstest;
use simulation::{Simulation, locality, name};

const SECOND: Duration = Duration::from_secs(1);

fn is_death(event: &Event) -> bool {
    matches!(event, Event::Died(_))
}

fn is_first_region(locality: &Locality) -> bool {
    locality.region.as_str() == "region-0"
}

#[rstest]
#[case::one_region(7, 1)]
#[case::one_node_per_region(3, 3)]
#[case::three_regions(24, 3)]
fn a_killed_node_is_detected_and_a_new_process_returns(
    #[case] count: usize,
    #[case] regions: usize,
) {
    let mut simulation = Simulation::joined(1, count, regions);
    let victim = name(1);
    simulation.kill(&victim);
    simulation.run_for(20 * SECOND);
    simulation.assert_agreement();
    simulation.start(victim.clone(), locality(1 % regions, 0));
    simulation.run_for(20 * SECOND);
    simulation.assert_agreement();
    let observed = simulation.nodes[&name(0)].membership.member(&victim);
    let own = simulation.membership(&victim).own_incarnation();
    assert_eq!(observed.expect("known").incarnation, own);
}

#[test]
fn duplicated_and_reordered_datagrams_change_nothing() {
    let mut simulation = Simulation::joined(2, 12, 2);
    let since = simulation.now;
    simulation.duplication = 0.5;
    simulation.jitter = Duration::from_millis(90);
    simulation.run_for(60 * SECOND);
    simulation.assert_agreement();
    assert_eq!(
        simulation.count(since, |event| matches!(event, Event::Suspected(_))),
        0
    );
}

#[test]
fn loss_of_a_tenth_of_datagrams_causes_no_death() {
    let mut simulation = Simulation::joined(3, 24, 2);
    let since = simulation.now;
    simulation.loss = 0.1;
    simulation.run_for(120 * SECOND);
    assert_eq!(simulation.count(since, is_death), 0);
    simulation.heal();
    simulation.run_for(20 * SECOND);
    simulation.assert_agreement();
}

#[rstest]
#[case::empty(vec![])]
#[case::other_version(vec![2, 0, 0, 0])]
#[case::noise(vec![1, 255, 254, 253, 252])]
#[case::too_long(vec![1; 5_000])]
fn malformed_datagrams_are_counted_and_ignored(#[case] bytes: Vec<u8>) {
    let mut simulation = Simulation::joined(4, 3, 1);
    let from = SocketAddr::from(([10, 9, 9, 9], 9));
    simulation.inject(from, &name(0), &bytes);
    assert_eq!(simulation.membership(&name(0)).counters().garbage, 1);
    simulation.run_for(SECOND);
    simulation.assert_agreement();
}

#[test]
fn truncated_and_altered_datagrams_do_no_harm() {
    let mut simulation = Simulation::joined(5, 3, 1);
    let (now, own) = (simulation.now, name(0));
    let outputs = simulation.membership(&own).announce_leaving(now);
    let sent = outputs.into_iter().find_map(|output| match output {
        dyketally::membership::Output::Send { message, .. } => Some(*message),
        _ => None,
    });
    let bytes = encode(&sent.expect("a message")).expect("fits");
    let from = SocketAddr::from(([10, 9, 9, 9], 9));
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err());
        let mut altered = bytes.clone();
        altered[length] ^= 0xff;
        simulation.inject(from, &name(1), &altered);
    }
    let mut longer = bytes.clone();
    longer.push(0);
    assert!(decode(&longer).is_err());
}

#[test]
fn a_paused_node_is_declared_dead_and_rejoins() {
    let mut simulation = Simulation::joined(6, 9, 3);
    let paused = name(4);
    let before = simulation.membership(&paused).own_incarnation();
    simulation.freeze(&paused);
    simulation.run_for(30 * SECOND);
    assert_eq!(simulation.state(&name(0), &paused), Some(MemberState::Dead));
    let since = simulation.now;
    simulation.thaw(&paused);
    simulation.run_for(20 * SECOND);
    simulation.assert_agreement();
    assert!(simulation.membership(&paused).own_incarnation() > before);
    assert_eq!(simulation.membership(&paused).counters().pauses, 1);
    assert_eq!(
        simulation.count(since, is_death),
        0,
        "the paused node declared others dead"
    );
}

#[rstest]
#[case::to_it(true)]
#[case::from_it(false)]
fn indirect_probes_keep_a_node_behind_a_one_way_cut_alive(#[case] to_it: bool) {
    let mut simulation = Simulation::joined(7, 8, 1);
    let since = simulation.now;
    let (one, other) = (name(2), name(5));
    if to_it {
        simulation.cut(&one, &other);
    } else {
        simulation.cut(&other, &one);
    }
    simulation.run_for(60 * SECOND);
    assert!(simulation.membership(&one).counters().indirect_probes > 0);
    assert_eq!(simulation.count(since, is_death), 0);
    simulation.assert_agreement();
}

#[test]
fn a_cut_between_regions_is_one_change_and_heals_without_suspicion() {
    let mut simulation = Simulation::joined(8, 30, 3);
    let since = simulation.now;
    simulation.partition(is_first_region);
    simulation.run_for(60 * SECOND);
    let inside = name(0);
    assert_eq!(
        simulation.state(&inside, &name(3)),
        Some(MemberState::Alive)
    );
    assert_eq!(
        simulation.state(&inside, &name(1)),
        Some(MemberState::Unreachable)
    );
    assert_eq!(
        simulation.state(&name(1), &inside),
        Some(MemberState::Unreachable)
    );
    assert_eq!(
        simulation.state(&name(1), &name(2)),
        Some(MemberState::Alive)
    );
    let is_suspicion = |event: &Event| matches!(event, Event::Suspected(_));
    assert_eq!(simulation.count(since, is_suspicion), 0);
    simulation.heal();
    simulation.run_for(15 * SECOND);
    simulation.assert_agreement();
    assert_eq!(simulation.count(since, is_suspicion), 0);
    assert_eq!(simulation.count(since, is_death), 0);
}

#[test]
fn changes_behind_a_cut_are_received_when_it_heals() {
    let mut simulation = Simulation::joined(9, 18, 3);
    simulation.partition(is_first_region);
    simulation.run_for(20 * SECOND);
    simulation.kill(&name(3));
    simulation.leave(&name(4));
    simulation.run_for(300 * SECOND);
    simulation.heal();
    simulation.run_for(20 * SECOND);
    simulation.assert_agreement();
    assert_eq!(
        simulation.state(&name(1), &name(3)),
        Some(MemberState::Dead)
    );
    assert_eq!(
        simulation.state(&name(0), &name(4)),
        Some(MemberState::Left)
    );
}

#[test]
fn a_cut_within_a_region_heals() {
    let mut simulation = Simulation::joined(10, 12, 1);
    // Without contacts, only the probes of dead members can find the other side.
    for node in simulation.running() {
        simulation.membership(&node).set_contacts(Vec::new());
    }
    let first_zone = |locality: &Locality| locality.zone.as_str() == "zone-0-0";
    simulation.partition(first_zone);
    simulation.run_for(60 * SECOND);
    assert_eq!(
        simulation.state(&name(0), &name(1)),
        Some(MemberState::Dead)
    );
    assert_eq!(
        simulation.state(&name(0), &name(2)),
        Some(MemberState::Alive)
    );
    simulation.heal();
    simulation.run_for(30 * SECOND);
    simulation.assert_agreement();
}

#[test]
fn leaving_is_announced_and_causes_no_suspicion() {
    let mut simulation = Simulation::joined(11, 18, 3);
    let since = simulation.now;
    let leaving = name(5);
    simulation.announce_leaving(&leaving);
    simulation.run_for(10 * SECOND);
    for observer in simulation.running() {
        assert_eq!(
            simulation.state(&observer, &leaving),
            Some(MemberState::Leaving)
        );
    }
    simulation.leave(&leaving);
    simulation.run_for(10 * SECOND);
    for observer in simulation.running() {
        assert_eq!(
            simulation.state(&observer, &leaving),
            Some(MemberState::Left)
        );
    }
    let wrong = |event: &Event| matches!(event, Event::Suspected(_) | Event::Died(_));
    assert_eq!(simulation.count(since, wrong), 0);
}

#[test]
fn an_older_process_detects_that_it_was_replaced() {
    let mut simulation = Simulation::joined(12, 6, 1);
    let node = name(3);
    let now = simulation.now;
    let newer = message_of_newer_process(&mut simulation, &node, now);
    let from = SocketAddr::from(([10, 9, 9, 9], 9));
    simulation.inject(from, &node, &newer);
    assert!(simulation.membership(&node).is_replaced());
    let outputs = simulation.membership(&node).tick(now + SECOND);
    assert!(outputs.is_empty(), "a replaced process stays silent");
}

/// A message from a process that has the name of `node` and started later.
fn message_of_newer_process(
    simulation: &mut Simulation,
    node: &NodeName,
    now: Timestamp,
) -> Vec<u8> {
    let outputs = simulation.membership(&name(0)).announce_leaving(now);
    let message = outputs.into_iter().find_map(|output| match output {
        dyketally::membership::Output::Send { message, .. } => Some(*message),
        _ => None,
    });
    let template: Message = message.expect("a message");
    let mut header = template.header;
    header.sender = node.clone();
    header.incarnation.started = u64::MAX / 2;
    let message = Message {
        header,
        body: Body::Ping { sequence: 1 },
        updates: Vec::new(),
    };
    encode(&message).expect("fits")
}

#[test]
fn a_late_claim_about_an_older_incarnation_is_ignored() {
    let mut simulation = Simulation::joined(13, 6, 1);
    let node = name(2);
    let old = simulation.membership(&node).own_incarnation();
    simulation.announce_leaving(&node);
    simulation.run_for(5 * SECOND);
    let now = simulation.now;
    let observer = name(1);
    let outputs = simulation.membership(&observer).announce_leaving(now);
    let message = outputs.into_iter().find_map(|output| match output {
        dyketally::membership::Output::Send { message, .. } => Some(*message),
        _ => None,
    });
    let mut message = message.expect("a message");
    message.updates = vec![Update::Died {
        node: node.clone(),
        incarnation: old,
    }];
    let bytes = encode(&message).expect("fits");
    let from = SocketAddr::from(([10, 9, 9, 9], 9));
    simulation.inject(from, &name(0), &bytes);
    assert_eq!(
        simulation.state(&name(0), &node),
        Some(MemberState::Leaving)
    );
}

#[test]
fn a_revision_is_seen_everywhere() {
    let mut simulation = Simulation::joined(14, 30, 3);
    let since = simulation.now;
    simulation.set_revision(&name(7), 5);
    // Each node that sees the revision adopts it, as a node that pulls the changes does.
    for _ in 0..100 {
        simulation.run_for(Duration::from_millis(100));
        for node in simulation.running() {
            let seen = simulation.nodes[&node].events.iter().any(|(at, event)| {
                *at >= since
                    && matches!(event, Event::RevisionSeen { revision, .. } if revision.0 == 5)
            });
            if seen {
                simulation.set_revision(&node, 5);
            }
        }
    }
    for node in simulation.running() {
        let membership = &simulation.nodes[&node].membership;
        let own = membership.member(&node).expect("own entry");
        assert_eq!(own.revision.0, 5, "{node}");
    }
}

#[test]
fn a_large_fleet_joins_at_once_through_three_contacts() {
    let mut simulation = Simulation::new(15);
    for number in 0..120 {
        simulation.start(name(number), locality(number % 3, number / 3 % 2));
    }
    simulation.run_for(40 * SECOND);
    simulation.assert_agreement();
    let longest = simulation
        .nodes
        .values()
        .map(|node| node.longest_datagram)
        .max();
    println!("longest datagram: {longest:?} bytes");
}

#[rstest]
#[case::no_interval(|config: &mut Config| config.probe_interval = Duration::ZERO, "probe_interval")]
#[case::timeouts(|config: &mut Config| config.direct_timeout = config.probe_timeout, "direct_timeout")]
#[case::suspicion(|config: &mut Config| config.longest_suspicion = Duration::ZERO, "shortest_suspicion")]
#[case::updates(|config: &mut Config| config.update_bytes = 10_000, "update_bytes")]
fn invalid_settings_are_refused(#[case] change: fn(&mut Config), #[case] named: &str) {
    let mut config = Config::default();
    assert_eq!(config.validate(), Ok(()));
    change(&mut config);
    let error: InvalidConfig = config.validate().expect_err("refused");
    assert!(error.to_string().contains(named), "{error}");
}
