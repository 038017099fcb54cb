//! Publication and dissemination together, driven at random against a simple oracle.
//!
//! The oracle is the list of accepted changes as the simulated service carried them out. After each step, every node
//! holds exactly the documents that the oracle has for its revision, no node has returned to an older revision, and no
//! operator got a result that the list contradicts. At the end, when everything works again, all nodes hold the newest
//! documents.

mod fleet;
mod operators;
mod service;
mod world;

use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use world::World;

/// What becomes of a request to the service.
#[derive(Clone, Copy, Debug)]
pub enum RequestFate {
    Answered,
    RequestLost,
    ReplyLost,
    /// No reply comes, and the request takes effect later.
    Delayed,
    RateLimited,
}

/// What becomes of a message between nodes.
#[derive(Clone, Copy, Debug)]
pub enum MessageFate {
    Delivered,
    Repeated,
    Lost,
}

/// Invalid or outdated messages.
#[derive(Clone, Copy, Debug)]
pub enum Garbage {
    /// A claim to be at a revision that doesn't exist.
    FutureRevision,
    /// An empty answer.
    EmptyReply,
    /// Changes from the very first on.
    OldChanges,
    /// The newest change without those before it.
    LoneNewestChange,
    /// All changes, newest first.
    ReversedChanges,
    /// The end of a snapshot whose beginning never came.
    LateSnapshotPart,
    /// A part that is empty and not the last.
    EmptySnapshotPart,
    /// All documents of the revision before the newest, as a slow watch would report them.
    OldSnapshot,
}

#[derive(Clone, Debug)]
pub enum Transition {
    /// An operator makes a change on the revision that was newest `behind` changes ago.
    Publish { operator: usize, behind: u64 },
    /// An operator makes a change on the newest revision, and it is accepted at once if the
    /// operator isn't busy and the service runs.
    Accept { operator: usize },
    /// An operator's tool takes its next step, such as a call to the service.
    OperatorStep { operator: usize, fate: RequestFate },
    /// A delayed request reaches the service.
    DelayedRequest(Index),
    /// The service goes down (`true`) or recovers.
    Outage(bool),
    /// One node sends another its revision.
    Probe { from: usize, to: usize },
    /// One of the pending messages is delivered, repeated or lost, in any order.
    Message(Index, MessageFate),
    /// Time passes for all nodes.
    Tick { milliseconds: u64 },
    /// A node becomes a relay or ceases to be one.
    Relay { node: usize, relay: bool },
    /// An open watch reports what is new, or fails.
    Watch { node: usize, fails: bool },
    /// A node is replaced by a fresh one.
    Replace { node: usize },
    /// A node receives an invalid or outdated message.
    Garbage { node: usize, garbage: Garbage },
}

pub const NODES: usize = 4;
pub const OPERATORS: usize = 3;

fn request_fate() -> impl Strategy<Value = RequestFate> {
    prop_oneof![
        4 => Just(RequestFate::Answered),
        1 => Just(RequestFate::RequestLost),
        2 => Just(RequestFate::ReplyLost),
        1 => Just(RequestFate::Delayed),
        1 => Just(RequestFate::RateLimited),
    ]
}

fn message_fate() -> impl Strategy<Value = MessageFate> {
    prop_oneof![
        6 => Just(MessageFate::Delivered),
        1 => Just(MessageFate::Repeated),
        1 => Just(MessageFate::Lost),
    ]
}

fn garbage() -> impl Strategy<Value = Garbage> {
    prop_oneof![
        Just(Garbage::FutureRevision),
        Just(Garbage::EmptyReply),
        Just(Garbage::OldChanges),
        Just(Garbage::LoneNewestChange),
        Just(Garbage::ReversedChanges),
        Just(Garbage::LateSnapshotPart),
        Just(Garbage::EmptySnapshotPart),
        Just(Garbage::OldSnapshot),
    ]
}

fn transition() -> impl Strategy<Value = Transition> {
    let node = 0..NODES;
    let operator = 0..OPERATORS;
    prop_oneof![
        6 => operator.clone().prop_map(|operator| Transition::Accept { operator }),
        4 => (operator.clone(), 0..2_u64)
            .prop_map(|(operator, behind)| Transition::Publish { operator, behind }),
        12 => (operator, request_fate())
            .prop_map(|(operator, fate)| Transition::OperatorStep { operator, fate }),
        2 => any::<Index>().prop_map(Transition::DelayedRequest),
        1 => prop::bool::weighted(0.3).prop_map(Transition::Outage),
        14 => (node.clone(), node.clone())
            .prop_map(|(from, to)| Transition::Probe { from, to }),
        30 => (any::<Index>(), message_fate())
            .prop_map(|(index, fate)| Transition::Message(index, fate)),
        6 => (1..3000_u64).prop_map(|milliseconds| Transition::Tick { milliseconds }),
        2 => (node.clone(), prop::bool::weighted(0.7))
            .prop_map(|(node, relay)| Transition::Relay { node, relay }),
        6 => (node.clone(), prop::bool::weighted(0.2))
            .prop_map(|(node, fails)| Transition::Watch { node, fails }),
        1 => node.clone().prop_map(|node| Transition::Replace { node }),
        2 => (node, garbage())
            .prop_map(|(node, garbage)| Transition::Garbage { node, garbage }),
    ]
}

/// The generator of steps. It keeps no state, since any step may follow any other.
pub struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Transition> {
        transition().boxed()
    }

    fn apply((): (), _: &Transition) {}
}

pub struct Dissemination;

impl StateMachineTest for Dissemination {
    type SystemUnderTest = World;
    type Reference = AnyStep;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), transition: Transition) -> World {
        world.step(transition);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }

    fn teardown(mut world: World, (): ()) {
        world.heal();
        world.check_converged();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig::default())]

    #[test]
    fn accepted_changes_reach_all_nodes_and_no_revision_decreases(sequential 1..400 => Dissemination);
}
