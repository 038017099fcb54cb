//! The actions of a test case, and the strategies that generate them.

use dyketally::policy::Repeat;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use crate::callers::CALLERS;
use crate::environment::{DelayTarget, MEMBERS, NODES, OPERATORS, PLACES, Place};

/// Which key a caller looks up: one that it wrote itself, or one of the next caller.
#[derive(Clone, Copy, Debug)]
pub enum LookupTarget {
    OwnNewest,
    OwnAny,
    Other,
}

/// A caller's move to a node, with or without its session token.
#[derive(Clone, Copy, Debug)]
pub struct Move {
    pub caller: usize,
    pub node: Place,
    pub keep_token: bool,
}

#[derive(Clone, Debug)]
pub enum Action {
    /// Caller; whether the write may be repeated.
    Write(usize, Repeat),
    /// Caller; number of statements.
    Transaction(usize, usize),
    /// The caller sends its last write that was answered as not run again.
    ResendNotRun(usize),
    Lookup(usize, LookupTarget),
    Roam(Move),
    /// Moves the caller and looks up its newest write at the new node.
    RoamAndLookUp(Move),
    Kill(Place),
    /// Freezes a process for a number of milliseconds.
    Freeze(Place, u64),
    /// Cuts the link in one direction, from the first place to the second.
    Cut(Place, Place),
    /// Cuts a process off from all others, in both directions.
    Isolate(Place),
    /// Cuts a member off from the other members, but not from the nodes.
    IsolateFromGroup(usize),
    /// Cuts a zone's node and database off from all processes outside the zone.
    CutZone(usize),
    HealCuts,
    /// Sets a node's clock forward by a number of milliseconds.
    JumpClock(Place, u64),
    /// Sets a member's replication lag, in milliseconds.
    Lag(usize, u64),
    /// Starts an election with this member as the candidate.
    Elect(usize),
    /// Delays messages to a member by a number of milliseconds.
    DelayDelivery(usize, DelayTarget, u64),
    /// An edge treats `home` as the home of a database, whether or not it is.
    OverrideHome {
        edge: Place,
        member: usize,
        home: Place,
    },
    /// Starts the planned stop of a node.
    StopNode(Place),
    /// A member of the group starts leaving.
    LeaveDatabase(usize),
    /// An operator publishes a change of the configuration.
    Publish(usize),
    /// Lets a number of milliseconds pass.
    Wait(u64),
}

/// An action and the simulated time that passes after it, in microseconds.
#[derive(Clone, Debug)]
pub struct Step {
    pub action: Action,
    pub then_micros: u64,
}

/// Which actions a case may have.
#[derive(Clone, Copy, Debug)]
pub enum Mix {
    /// Any action, at any moment.
    Everything,
    /// Changes of primary in quick succession, amid writes and lookups.
    Elections,
}

/// Generates only cases of [`Mix::Elections`].
pub struct Elections;

/// Parameters of a case. As every action is valid at any time, the reference state holds nothing else.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Seed of the simulation's own random choices.
    pub seed: u64,
    pub mix: Mix,
}

fn repeat() -> impl Strategy<Value = Repeat> {
    prop_oneof![
        3 => Just(Repeat::Never),
        2 => Just(Repeat::Repeatable),
        2 => Just(Repeat::Recorded),
    ]
}

fn target() -> impl Strategy<Value = LookupTarget> {
    prop_oneof![
        3 => Just(LookupTarget::OwnNewest),
        1 => Just(LookupTarget::OwnAny),
        1 => Just(LookupTarget::Other),
    ]
}

fn movement() -> impl Strategy<Value = Move> {
    let fields = (0..CALLERS, 0..NODES, prop::bool::weighted(0.6));
    fields.prop_map(|(caller, node, keep_token)| Move {
        caller,
        node,
        keep_token,
    })
}

fn traffic() -> impl Strategy<Value = Action> {
    prop_oneof![
        5 => (0..CALLERS, repeat()).prop_map(|(caller, repeat)| Action::Write(caller, repeat)),
        2 => (0..CALLERS, 1..4_usize).prop_map(|(caller, count)| Action::Transaction(caller, count)),
        2 => (0..CALLERS).prop_map(Action::ResendNotRun),
        4 => (0..CALLERS, target()).prop_map(|(caller, target)| Action::Lookup(caller, target)),
        1 => movement().prop_map(Action::Roam),
        2 => (0..OPERATORS).prop_map(Action::Publish),
        2 => movement().prop_map(Action::RoamAndLookUp),
    ]
}

/// Writes that a replaced primary may wrongly accept, and lookups that it may wrongly answer.
fn contested_traffic() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..CALLERS, repeat()).prop_map(|(caller, repeat)| Action::Write(caller, repeat)),
        2 => (0..CALLERS).prop_map(Action::ResendNotRun),
        4 => movement().prop_map(Action::RoamAndLookUp),
    ]
}

fn delay_target() -> impl Strategy<Value = DelayTarget> {
    prop_oneof![Just(DelayTarget::Change), Just(DelayTarget::AfterChange)]
}

fn change_of_primary() -> impl Strategy<Value = Action> {
    prop_oneof![
        2 => (0..MEMBERS).prop_map(Action::IsolateFromGroup),
        2 => (0..MEMBERS).prop_map(Action::CutZone),
        4 => Just(Action::HealCuts),
        3 => (0..MEMBERS).prop_map(Action::Elect),
        2 => (0..MEMBERS, delay_target(), 0..200_u64)
            .prop_map(|(member, target, millis)| Action::DelayDelivery(member, target, millis)),
        1 => (0..MEMBERS, 0..100_u64).prop_map(|(member, millis)| Action::Lag(member, millis)),
    ]
}

fn fault() -> impl Strategy<Value = Action> {
    prop_oneof![
        2 => (0..PLACES).prop_map(Action::Kill),
        2 => (0..PLACES, 1..250_u64).prop_map(|(place, millis)| Action::Freeze(place, millis)),
        3 => (0..PLACES, 0..PLACES).prop_map(|(from, to)| Action::Cut(from, to)),
        1 => (0..PLACES).prop_map(Action::Isolate),
        1 => (0..NODES, 1..2_000_u64).prop_map(|(node, millis)| Action::JumpClock(node, millis)),
        1 => (0..NODES, 0..MEMBERS, 0..NODES)
            .prop_map(|(edge, member, home)| Action::OverrideHome { edge, member, home }),
        1 => (0..NODES).prop_map(Action::StopNode),
        1 => (0..MEMBERS).prop_map(Action::LeaveDatabase),
        7 => change_of_primary(),
    ]
}

fn wait() -> impl Strategy<Value = Action> {
    (1..80_u64).prop_map(Action::Wait)
}

fn action(mix: Mix) -> BoxedStrategy<Action> {
    match mix {
        Mix::Everything => prop_oneof![6 => traffic(), 3 => fault(), 1 => wait()].boxed(),
        Mix::Elections => {
            prop_oneof![4 => contested_traffic(), 4 => change_of_primary(), 1 => wait()].boxed()
        }
    }
}

fn steps(mix: Mix) -> BoxedStrategy<Step> {
    let then_micros = prop_oneof![3 => 0..3_000_u64, 1 => 0..40_000_u64];
    (action(mix), then_micros)
        .prop_map(|(action, then_micros)| Step {
            action,
            then_micros,
        })
        .boxed()
}

fn plans(mix: impl Strategy<Value = Mix> + 'static) -> BoxedStrategy<Plan> {
    (any::<u64>(), mix)
        .prop_map(|(seed, mix)| Plan { seed, mix })
        .boxed()
}

impl ReferenceStateMachine for Plan {
    type State = Plan;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Plan> {
        plans(prop_oneof![2 => Just(Mix::Everything), 1 => Just(Mix::Elections)])
    }

    fn transitions(plan: &Plan) -> BoxedStrategy<Step> {
        steps(plan.mix)
    }

    fn apply(plan: Plan, _: &Step) -> Plan {
        plan
    }
}

impl ReferenceStateMachine for Elections {
    type State = Plan;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Plan> {
        plans(Just(Mix::Elections))
    }

    fn transitions(plan: &Plan) -> BoxedStrategy<Step> {
        steps(plan.mix)
    }

    fn apply(plan: Plan, _: &Step) -> Plan {
        plan
    }
}
