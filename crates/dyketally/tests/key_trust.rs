//! How long a node trusts keys. A property test checks that no key is used past the bound when confirmations come
//! through a relay.

use std::time::Duration;

use dyketally::tenant::{KeyPolicy, KeyTrust};
use dyketally::time::Timestamp;
use proptest::prelude::*;
use rstest::rstest;

const BOUND: Duration = Duration::from_secs(5);
const REFUSING: KeyPolicy = KeyPolicy::Refuse { bound: BOUND };

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[rstest]
#[case::never_confirmed(None, 0, false)]
#[case::just_confirmed(Some(10_000), 10_000, true)]
#[case::shortly_before_the_end(Some(10_000), 13_499, true)]
#[case::at_the_end(Some(10_000), 13_500, false)]
#[case::long_after(Some(10_000), 600_000, false)]
#[case::confirmed_again_meanwhile(Some(12_000), 13_600, true)]
fn trust_ends_before_the_bound(
    #[case] confirmed: Option<u64>,
    #[case] now: u64,
    #[case] holds: bool,
) {
    let mut trust = KeyTrust::new(REFUSING);
    if let Some(confirmed) = confirmed {
        trust.confirm(at(confirmed));
    }
    assert_eq!(trust.holds(at(now)), holds);
}

#[test]
fn without_a_bound_keys_are_trusted_whatever_their_age() {
    let trust = KeyTrust::new(KeyPolicy::Serve);
    assert!(trust.holds(at(3_600_000)));
    assert_eq!(KeyPolicy::Serve.confirmed_each(), None);
}

#[test]
fn an_older_confirmation_changes_nothing() {
    let mut trust = KeyTrust::new(REFUSING);
    trust.confirm(at(9_000));
    trust.confirm(at(4_000));
    assert_eq!(trust.age(at(10_000)), Some(Duration::from_secs(1)));
}

/// A node that has just started can't represent times before its clock began, and must not treat a confirmation from
/// before that time as new.
#[test]
fn a_confirmation_from_before_the_nodes_start_is_not_treated_as_newer() {
    let mut trust = KeyTrust::new(REFUSING);
    trust.confirm_relayed(at(500), Duration::from_secs(600));
    assert!(!trust.holds(at(600)));
    trust.confirm_relayed(at(500), Duration::from_millis(500));
    assert!(trust.holds(at(600)));
}

/// Keys are trusted for more than four confirmation intervals: enough for a watch that needs two requests, one request
/// to a relay, and the transfer.
#[test]
fn regular_confirmations_keep_keys_trusted() {
    let pause = REFUSING.confirmed_each().expect("a pause");
    let trusted = REFUSING.trusted_for().expect("a limit");
    assert!(pause * 4 < trusted);
    assert!(trusted < BOUND);
}

/// A step in a chain from the store through a relay to a node. Times are in milliseconds.
#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    StoreAnswersRelay { request_age: u64 },
    RelayAnswersNode { request_age: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let before = 0_u64..4_000;
    prop_oneof![
        (0_u64..3_000).prop_map(Step::AdvanceClock),
        before
            .clone()
            .prop_map(|request_age| Step::StoreAnswersRelay { request_age }),
        before.prop_map(|request_age| Step::RelayAnswersNode { request_age }),
    ]
}

proptest! {
    /// Replies may be late by any time. A node that still trusts its keys has received every revocation that is older
    /// than the bound.
    #[test]
    fn no_key_is_trusted_past_the_bound(steps in prop::collection::vec(step(), 1..60)) {
        // The clocks of the two nodes started at different times.
        let node_start = 7_000;
        let mut now = 20_000;
        let mut relay = KeyTrust::new(REFUSING);
        let mut node = KeyTrust::new(REFUSING);
        // The latest true times at which the configurations of the relay and of the node were the newest ones.
        let mut relay_current_at = 0;
        let mut node_current_at = 0;
        for step in steps {
            match step {
                Step::AdvanceClock(time) => now += time,
                Step::StoreAnswersRelay { request_age } => {
                    relay.confirm(at(now - request_age));
                    relay_current_at = relay_current_at.max(now - request_age);
                }
                Step::RelayAnswersNode { request_age } => {
                    // The relay answered at some time after the request; an answer just now is the worst case.
                    if let Some(age) = relay.age(at(now)) {
                        node.confirm_relayed(at(now - node_start - request_age), age);
                        node_current_at = node_current_at.max(relay_current_at);
                    }
                }
            }
            if node.holds(at(now - node_start)) {
                prop_assert!(now - node_current_at < BOUND.as_millis() as u64);
            }
            if relay.holds(at(now)) {
                prop_assert!(now - relay_current_at < BOUND.as_millis() as u64);
            }
        }
    }
}
