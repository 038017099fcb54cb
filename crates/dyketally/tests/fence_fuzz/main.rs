//! Stateful fuzzing of fences against an oracle that sees everything: nodes, databases and the store
//! are cut off from each other at random, nodes stand still, clocks run at different rates and the duty
//! changes hands while a primary is being replaced. No node may take the old primary for the leader,
//! without asking the other databases, once another one leads. With a mechanism switched off, the
//! oracle must find a violation.

mod duty;
mod node;
mod round;
mod world;

use rstest::rstest;

use world::{Rule, World};

const SEEDS: u64 = 3_000;
/// Seeds that are tried until a mechanism that is switched off is noticed.
const SEEDS_OF_FAULTS: u64 = 30_000;

/// A mechanism that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// All mechanisms work.
    Nothing,
    /// Nodes that don't confirm aren't waited for.
    SilentNodesIgnored,
    /// However few nodes confirm, the others are taken for isolated in the end.
    NoQuorumNeeded,
    /// Nodes take themselves for in touch whatever they hear.
    NeverIsolated,
    /// Nodes confirm a fence and go on using the primary.
    ConfirmedOnly,
    /// A quorum counts as if it had stood from the start.
    QuorumBackdated,
    /// A node that was isolated takes itself for in touch at once when it hears something.
    NoCatchUp,
    /// Nodes don't tell each other of fences.
    FencesKeptSecret,
    /// Nodes in touch with the store don't hear of fences there.
    StoreNotTold,
    /// A relay's contact counts for its followers as if it were new.
    RelayedAgeIgnored,
    /// A node's own calls to the store count although a relay tells it the news.
    OwnCallsOfFollowersCount,
    /// Renewals of the duty's lease count although the holder's watch is lost.
    RenewalsWithoutWatchCount,
    /// Relays don't tell their followers of fences.
    RelayedFencesKeptSecret,
    /// Nodes trust a primary without the short contact.
    ShortContactNotNeeded,
    /// Grants of the short contact don't tell of fences.
    GrantsWithoutFences,
    /// Whoever held the duty goes on granting when its lease may have ended.
    GrantsOutliveLease,
    /// Whoever takes the duty grants the short contact at once.
    GrantsUnsettled,
    /// A primary is replaced although another node may hold the duty.
    ClosesWithoutLease,
}

/// The run of the first seed, step by step: node 0 had missed a fence, took the duty at 14.3 s, and renewed its
/// lease at 15.2 s. It was cut off from the store for 1.4 s before its watch had told it what it missed. The
/// 3 s for which a node catches up went by meanwhile, and its renewals counted as contact: at 18 s it trusted
/// the primary that had been replaced.
#[rstest]
#[case(238_816)]
#[case(258_812)]
fn a_holder_of_the_duty_relies_on_its_watch_and_not_on_its_renewals(#[case] seed: u64) {
    let deceived = |fault| World::new(seed, fault, Rule::Both).run().deceived;
    assert!(deceived(Fault::RenewalsWithoutWatchCount).is_some());
    assert_eq!(deceived(Fault::Nothing), None);
}

fn first_deceived(seeds: u64, fault: Fault, rule: Rule) -> Option<String> {
    (0..seeds).find_map(|seed| {
        let deceived = World::new(seed, fault, rule).run().deceived?;
        Some(format!("seed {seed}, {deceived}"))
    })
}

#[rstest]
#[case(Rule::Long)]
#[case(Rule::Both)]
fn nobody_trusts_a_primary_that_was_replaced(#[case] rule: Rule) {
    assert_eq!(first_deceived(SEEDS, Fault::Nothing, rule), None);
}

#[test]
fn fences_close_early_in_many_runs() {
    let runs = (0..SEEDS).map(|seed| World::new(seed, Fault::Nothing, Rule::Both).run());
    let early = runs.filter(|run| run.closed_early).count();
    assert!(early > 100, "only {early} runs closed a fence early");
}

/// What the long contact rests on: the short one hides most of these faults.
#[rstest]
#[case(Fault::SilentNodesIgnored)]
#[case(Fault::NoQuorumNeeded)]
#[case(Fault::NeverIsolated)]
#[case(Fault::ConfirmedOnly)]
#[case(Fault::QuorumBackdated)]
#[case(Fault::NoCatchUp)]
#[case(Fault::FencesKeptSecret)]
#[case(Fault::StoreNotTold)]
#[case(Fault::RelayedAgeIgnored)]
#[case(Fault::OwnCallsOfFollowersCount)]
#[case(Fault::RelayedFencesKeptSecret)]
fn a_mechanism_that_is_switched_off_is_noticed(#[case] fault: Fault) {
    let deceived = first_deceived(SEEDS, fault, Rule::Long);
    assert!(deceived.is_some(), "{fault:?} went unnoticed");
}

#[rstest]
#[case(Fault::SilentNodesIgnored)]
#[case(Fault::NeverIsolated)]
#[case(Fault::ConfirmedOnly)]
#[case(Fault::QuorumBackdated)]
#[case(Fault::FencesKeptSecret)]
#[case(Fault::RelayedAgeIgnored)]
#[case(Fault::RelayedFencesKeptSecret)]
#[case(Fault::ShortContactNotNeeded)]
#[case(Fault::GrantsWithoutFences)]
#[case(Fault::GrantsOutliveLease)]
#[case(Fault::GrantsUnsettled)]
#[case(Fault::ClosesWithoutLease)]
fn a_mechanism_of_early_fences_that_is_switched_off_is_noticed(#[case] fault: Fault) {
    let deceived = first_deceived(SEEDS_OF_FAULTS, fault, Rule::Both);
    assert!(deceived.is_some(), "{fault:?} went unnoticed");
}
