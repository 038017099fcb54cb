//! Actions of a case and how they are drawn.

use dyketally::policy::Repeat;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use crate::callers::CALLERS;
use crate::environment::{Held, MEMBERS, NODES, OPERATORS, PLACES, Place};

#[derive(Clone, Copy, Debug)]
pub enum LookupTarget {
    OwnNewest,
    OwnAny,
    Other,
}

/// Where a caller goes, and whether it carries its token there.
#[derive(Clone, Copy, Debug)]
pub struct Move {
    pub caller: usize,
    pub node: Place,
    pub keep_token: bool,
}

#[derive(Clone, Debug)]
pub enum Action {
    Write(usize, Repeat),
    /// A transaction of so many statements.
    Transaction(usize, usize),
    /// Sends the last write again that was told not-run.
    Again(usize),
    Lookup(usize, LookupTarget),
    Roam(Move),
    /// Roams and looks its newest write up there.
    RoamAndLookUp(Move),
    Kill(Place),
    /// For so many milliseconds.
    Freeze(Place, u64),
    /// One way.
    Cut(Place, Place),
    Isolate(Place),
    /// Cuts a member off from the other members, but not from nodes.
    IsolateFromGroup(usize),
    /// Cuts a zone, node and database, off from the others.
    CutZone(usize),
    HealCuts,
    /// By so many milliseconds.
    JumpClock(Place, u64),
    /// So many milliseconds.
    Lag(usize, u64),
    Elect(usize),
    /// So many milliseconds, on the way to a member.
    HoldBack(usize, Held, u64),
    /// An edge takes a node for the home of a database, rightly or not.
    Believe {
        edge: Place,
        member: usize,
        home: Place,
    },
    StopNode(Place),
    LeaveDatabase(usize),
    /// An operator publishes a change of the configuration.
    Publish(usize),
    /// So many milliseconds.
    Wait(u64),
}

/// An action and the time that passes behind it.
#[derive(Clone, Debug)]
pub struct Step {
    pub action: Action,
    pub then_micros: u64,
}

/// Which actions a case consists of.
#[derive(Clone, Copy, Debug)]
pub enum Mix {
    /// Any action, at any moment.
    Everything,
    /// Changes of primary in quick succession, amid writes and lookups.
    Elections,
}

/// Draws cases of [`Mix::Elections`] alone.
pub struct Elections;

/// What the actions are drawn by. Any action may come at any moment, so nothing else is kept.
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
    let drawn = (0..CALLERS, 0..NODES, prop::bool::weighted(0.6));
    drawn.prop_map(|(caller, node, keep_token)| Move {
        caller,
        node,
        keep_token,
    })
}

fn traffic() -> impl Strategy<Value = Action> {
    prop_oneof![
        5 => (0..CALLERS, repeat()).prop_map(|(caller, repeat)| Action::Write(caller, repeat)),
        2 => (0..CALLERS, 1..4_usize).prop_map(|(caller, count)| Action::Transaction(caller, count)),
        2 => (0..CALLERS).prop_map(Action::Again),
        4 => (0..CALLERS, target()).prop_map(|(caller, target)| Action::Lookup(caller, target)),
        1 => movement().prop_map(Action::Roam),
        2 => (0..OPERATORS).prop_map(Action::Publish),
        2 => movement().prop_map(Action::RoamAndLookUp),
    ]
}

/// Writes that a replaced primary may take, and lookups that it may serve.
fn contested_traffic() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..CALLERS, repeat()).prop_map(|(caller, repeat)| Action::Write(caller, repeat)),
        2 => (0..CALLERS).prop_map(Action::Again),
        4 => movement().prop_map(Action::RoamAndLookUp),
    ]
}

fn held() -> impl Strategy<Value = Held> {
    prop_oneof![Just(Held::Change), Just(Held::BehindChange)]
}

fn change_of_primary() -> impl Strategy<Value = Action> {
    prop_oneof![
        2 => (0..MEMBERS).prop_map(Action::IsolateFromGroup),
        2 => (0..MEMBERS).prop_map(Action::CutZone),
        4 => Just(Action::HealCuts),
        3 => (0..MEMBERS).prop_map(Action::Elect),
        2 => (0..MEMBERS, held(), 0..200_u64)
            .prop_map(|(member, held, millis)| Action::HoldBack(member, held, millis)),
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
            .prop_map(|(edge, member, home)| Action::Believe { edge, member, home }),
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
