//! Relays limit their calls to the key-value service, whatever happens.

use std::time::Duration;

use dyketally::configuration::sync::{
    RelaySettings, SyncAction, SyncSettings, Synchronizer, TokenBucket, WatchFailure, WatchId,
    WatchReport,
};
use dyketally::identifiers::NodeName;
use dyketally::policy::Revision;
use dyketally::time::Timestamp;
use rstest::rstest;

use crate::sample::{changes, in_force};

const TICK: Duration = Duration::from_millis(50);

/// Longer than any wait of a relay.
const AN_HOUR: Duration = Duration::from_secs(3600);

fn relay(settings: RelaySettings) -> Synchronizer {
    relay_among(settings, 1, 1)
}

fn relay_among(settings: RelaySettings, fleet_relays: u32, seed: u64) -> Synchronizer {
    let settings = SyncSettings {
        relay: settings,
        ..SyncSettings::default()
    };
    let mut node = Synchronizer::new("relay".into(), settings, seed);
    let actions = node.set_relays(&["relay".into()], fleet_relays, Timestamp::ZERO);
    assert_eq!(actions, []);
    node
}

/// Ticks until a watch is opened.
fn open(node: &mut Synchronizer, now: &mut Timestamp) -> WatchId {
    let end = *now + AN_HOUR;
    loop {
        *now = *now + TICK;
        assert!(*now < end, "no watch is opened");
        for action in node.tick(*now) {
            if let SyncAction::OpenWatch { watch, .. } = action {
                return watch;
            }
        }
    }
}

fn established(node: &mut Synchronizer, watch: WatchId, revision: u64, now: Timestamp) {
    let revision = Revision(revision);
    node.watch_report(watch, WatchReport::Established { revision }, now);
}

fn fail(node: &mut Synchronizer, watch: WatchId, retry_after: Duration, now: Timestamp) {
    let failure = WatchFailure { retry_after };
    node.watch_report(watch, WatchReport::Failed(failure), now);
}

#[test]
fn a_node_that_is_not_a_relay_never_calls_the_service() {
    let mut node = Synchronizer::new("other".into(), SyncSettings::default(), 1);
    node.set_relays(&["relay".into()], 6, Timestamp::ZERO);
    for second in 0..600 {
        assert_eq!(node.tick(Timestamp::from_millis(second * 1000)), []);
    }
}

#[test]
fn a_node_that_ceases_to_be_a_relay_closes_its_watch() {
    let mut node = relay(RelaySettings::default());
    let mut now = Timestamp::ZERO;
    open(&mut node, &mut now);
    let others: [NodeName; 1] = ["other".into()];
    assert_eq!(node.set_relays(&others, 1, now), [SyncAction::CloseWatch]);
    assert_eq!(node.set_relays(&others, 1, now), []);
    assert_eq!(node.tick(now + Duration::from_secs(60)), []);
    node.set_relays(&["relay".into()], 1, now);
    open(&mut node, &mut now);
}

#[test]
fn reports_reach_the_configuration_and_an_old_watch_is_not_mistaken_for_the_new_one() {
    let mut node = relay(RelaySettings::default());
    let mut now = Timestamp::ZERO;
    let first = open(&mut node, &mut now);
    let actions = node.watch_report(first, WatchReport::Changes(changes(1..=3)), now);
    assert_eq!(in_force(&actions), [Revision(3)]);
    let second = open(&mut node, &mut now);
    fail(&mut node, first, Duration::ZERO, now);
    assert_eq!(node.counters().watches_lost, 0);
    fail(&mut node, second, Duration::ZERO, now);
    assert_eq!(node.counters().watches_lost, 1);
}

#[test]
fn a_silent_watch_is_reopened() {
    let settings = RelaySettings::default();
    let mut node = relay(settings);
    let mut now = Timestamp::ZERO;
    let first = open(&mut node, &mut now);
    established(&mut node, first, 0, now);
    let opened_at = now;
    open(&mut node, &mut now);
    let waited = now.saturating_since(opened_at);
    assert!(waited >= settings.refresh.mul_f64(0.75), "{waited:?}");
    assert!(
        waited <= settings.refresh.mul_f64(1.25) + TICK,
        "{waited:?}"
    );
}

#[test]
fn a_service_that_lost_changes_is_counted_and_no_revision_decreases() {
    let mut node = relay(RelaySettings::default());
    let mut now = Timestamp::ZERO;
    let watch = open(&mut node, &mut now);
    node.watch_report(watch, WatchReport::Changes(changes(1..=3)), now);
    established(&mut node, watch, 2, now);
    assert_eq!(node.counters().service_behind, 1);
    assert_eq!(node.revision(), Revision(3));
}

#[rstest]
#[case::outage(Duration::ZERO)]
#[case::rate_limit(Duration::from_secs(5))]
fn waits_grow_with_failures_and_respect_retry_after(#[case] retry_after: Duration) {
    let settings = RelaySettings::default();
    let mut node = relay(settings);
    let mut now = Timestamp::ZERO;
    let mut waits = Vec::new();
    for _ in 0..12 {
        let watch = open(&mut node, &mut now);
        let failed_at = now;
        fail(&mut node, watch, retry_after, now);
        let mut probe = node.clone();
        open(&mut probe, &mut now);
        waits.push(now.saturating_since(failed_at));
        now = failed_at;
    }
    assert!(waits.iter().all(|wait| *wait >= retry_after), "{waits:?}");
    let longest = waits[11];
    assert!(longest >= settings.longest_backoff / 2, "{waits:?}");
    assert!(
        longest <= retry_after + settings.longest_backoff + TICK,
        "{waits:?}"
    );
    assert!(waits[0] < longest, "{waits:?}");
}

#[test]
fn all_relays_together_keep_the_bound_of_the_fleet_in_an_outage() {
    const RELAYS: u64 = 9;
    const SECONDS: u64 = 120;
    let settings = RelaySettings {
        fleet_openings_per_second: 3,
        // No backoff, so that only the bound limits the relays.
        backoff: Duration::ZERO,
        ..RelaySettings::default()
    };
    let mut opened = 0;
    for seed in 0..RELAYS {
        let mut node = relay_among(settings, RELAYS as u32, seed);
        for tick in 0..SECONDS * 20 {
            let now = Timestamp::from_millis(tick * 50);
            for action in node.tick(now) {
                let SyncAction::OpenWatch { watch, .. } = action else {
                    panic!("{action:?}");
                };
                opened += 1;
                fail(&mut node, watch, Duration::ZERO, now);
            }
        }
    }
    let bound = u64::from(settings.fleet_openings_per_second) * SECONDS;
    let bursts = RELAYS * u64::from(settings.burst);
    assert!(opened <= bound + bursts, "{opened} openings");
    assert!(opened > bound / 2, "{opened} openings");
}

#[test]
fn nodes_that_start_together_spread_their_first_openings() {
    let settings = RelaySettings::default();
    let mut times = Vec::new();
    for seed in 0..100 {
        let mut node = relay_among(settings, 1, seed);
        let mut now = Timestamp::ZERO;
        open(&mut node, &mut now);
        times.push(now);
    }
    let spread = settings.first_opening_spread;
    let early = times
        .iter()
        .filter(|time| **time < Timestamp::ZERO + spread / 2);
    let early = early.count();
    assert!(
        (25..=75).contains(&early),
        "{early} of 100 in the first half"
    );
}

#[rstest]
#[case::burst_at_start(&[0, 0, 0], &[true, true, false])]
#[case::refilled(&[0, 0, 1000, 1000], &[true, true, true, false])]
#[case::not_yet_refilled(&[0, 0, 999], &[true, true, false])]
#[case::never_more_than_the_burst(&[0, 60_000, 60_000, 60_000], &[true, true, true, false])]
fn a_token_bucket_grants_bursts_and_a_rate(
    #[case] times_milliseconds: &[u64],
    #[case] granted: &[bool],
) {
    let mut bucket = TokenBucket::new(Duration::from_secs(1), 2);
    let times = times_milliseconds
        .iter()
        .map(|time| Timestamp::from_millis(*time));
    let taken: Vec<bool> = times.map(|time| bucket.take(time).is_ok()).collect();
    assert_eq!(taken, granted);
}
