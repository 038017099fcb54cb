//! Stateful fuzzing of membership under kills, new processes, freezes, one-way cuts, loss, cuts between regions and
//! leaving. All running nodes must agree `QUIET_TIME` after the faults are healed.

mod simulation;

use std::collections::BTreeMap;
use std::sync::Once;
use std::time::Duration;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::Incarnation;
use proptest::prelude::*;
use proptest::test_runner::{
    Config as RunnerConfig, FileFailurePersistence, RngAlgorithm, RngSeed,
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use simulation::{Process, Simulation, locality, name};

const NODES: usize = 9;
const REGIONS: usize = 3;

/// Longer than any suspicion, region timeout and heal interval taken together.
const QUIET_TIME: Duration = Duration::from_secs(90);

#[derive(Clone, Debug)]
enum Fault {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Thaw(usize),
    Leave(usize),
    CutOneWay(usize, usize),
    PartitionRegion(usize),
    Lose(u32),
    Duplicate(u32),
    Heal,
    Wait(u64),
    /// Heals the network, thaws frozen processes, waits for `QUIET_TIME` and compares all views.
    Settle,
}

/// The model: the state of each process.
#[derive(Clone, Debug)]
struct Fleet {
    seed: u64,
    processes: Vec<Process>,
}

impl Fleet {
    fn is(&self, number: usize, process: Process) -> bool {
        self.processes[number] == process
    }

    fn unkilled(&self) -> usize {
        self.processes
            .iter()
            .filter(|process| **process != Process::Killed)
            .count()
    }
}

struct Model;

impl ReferenceStateMachine for Model {
    type State = Fleet;
    type Transition = Fault;

    fn init_state() -> BoxedStrategy<Fleet> {
        let processes = vec![Process::Running; NODES];
        let with_seed = move |seed| Fleet {
            seed,
            processes: processes.clone(),
        };
        any::<u64>().prop_map(with_seed).boxed()
    }

    fn transitions(_state: &Fleet) -> BoxedStrategy<Fault> {
        let node = 0..NODES;
        prop_oneof![
            3 => node.clone().prop_map(Fault::Kill),
            4 => node.clone().prop_map(Fault::Start),
            2 => node.clone().prop_map(Fault::Freeze),
            3 => node.clone().prop_map(Fault::Thaw),
            1 => node.clone().prop_map(Fault::Leave),
            3 => (node.clone(), node).prop_map(|(from, to)| Fault::CutOneWay(from, to)),
            2 => (0..REGIONS).prop_map(Fault::PartitionRegion),
            1 => (0..40u32).prop_map(Fault::Lose),
            1 => (0..60u32).prop_map(Fault::Duplicate),
            2 => Just(Fault::Heal),
            8 => (50..20_000u64).prop_map(Fault::Wait),
            1 => Just(Fault::Settle),
        ]
        .boxed()
    }

    fn preconditions(state: &Fleet, fault: &Fault) -> bool {
        match fault {
            // One process stays, so that the others have a node to join.
            Fault::Kill(node) => !state.is(*node, Process::Killed) && state.unkilled() > 1,
            Fault::Leave(node) => state.is(*node, Process::Running) && state.unkilled() > 1,
            Fault::Start(node) => state.is(*node, Process::Killed),
            Fault::Freeze(node) => state.is(*node, Process::Running),
            Fault::Thaw(node) => state.is(*node, Process::Frozen),
            _ => true,
        }
    }

    fn apply(mut state: Fleet, fault: &Fault) -> Fleet {
        match fault {
            Fault::Kill(node) | Fault::Leave(node) => state.processes[*node] = Process::Killed,
            Fault::Start(node) | Fault::Thaw(node) => state.processes[*node] = Process::Running,
            Fault::Freeze(node) => state.processes[*node] = Process::Frozen,
            Fault::Settle => {
                let frozen = state
                    .processes
                    .iter_mut()
                    .filter(|it| **it == Process::Frozen);
                frozen.for_each(|process| *process = Process::Running);
            }
            _ => {}
        }
        state
    }
}

struct MembershipTest {
    simulation: Simulation,
    /// The greatest incarnation of each node that each observer has recorded, by (observer, node).
    seen: BTreeMap<(NodeName, NodeName), Incarnation>,
}

impl MembershipTest {
    fn apply_fault(&mut self, fault: &Fault) {
        let simulation = &mut self.simulation;
        match fault {
            Fault::Kill(node) => simulation.kill(&name(*node)),
            Fault::Start(node) => {
                self.seen
                    .retain(|(observer, _), _| *observer != name(*node));
                simulation.start(name(*node), place(*node));
            }
            Fault::Freeze(node) => simulation.freeze(&name(*node)),
            Fault::Thaw(node) => simulation.thaw(&name(*node)),
            Fault::Leave(node) => simulation.leave(&name(*node)),
            Fault::CutOneWay(from, to) => simulation.cut(&name(*from), &name(*to)),
            Fault::PartitionRegion(region) => {
                let region = locality(*region, 0).region;
                simulation.partition(|locality| locality.region == region);
            }
            Fault::Lose(percent) => simulation.loss = f64::from(*percent) / 100.0,
            Fault::Duplicate(percent) => simulation.duplication = f64::from(*percent) / 100.0,
            Fault::Heal => simulation.heal(),
            Fault::Wait(millis) => simulation.run_for(Duration::from_millis(*millis)),
            Fault::Settle => self.settle(),
        }
    }

    fn settle(&mut self) {
        let simulation = &mut self.simulation;
        simulation.heal();
        for number in 0..NODES {
            simulation.thaw(&name(number));
        }
        simulation.run_for(QUIET_TIME);
        simulation.assert_agreement();
    }

    /// Asserts that the incarnation that a process records of a node never decreases.
    fn assert_incarnations_grow(&mut self) {
        for observer in self.simulation.running() {
            for member in self.simulation.nodes[&observer].membership.members() {
                let key = (observer.clone(), member.node);
                let seen = self.seen.entry(key).or_default();
                assert!(
                    *seen <= member.incarnation,
                    "{observer} recorded an older incarnation than {seen:?}"
                );
                *seen = member.incarnation;
            }
        }
    }
}

impl StateMachineTest for MembershipTest {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(fleet: &Fleet) -> Self {
        Self {
            simulation: Simulation::joined(fleet.seed, NODES, REGIONS),
            seen: BTreeMap::new(),
        }
    }

    fn apply(mut test: Self, _fleet: &Fleet, fault: Fault) -> Self {
        test.apply_fault(&fault);
        test.assert_incarnations_grow();
        test
    }

    fn teardown(mut test: Self, _fleet: Fleet) {
        test.settle();
    }
}

fn place(number: usize) -> Locality {
    locality(number % REGIONS, number / REGIONS % 2)
}

static PRINT_ONCE: Once = Once::new();

/// A fixed seed and number of cases, unless `DYKETALLY_FUZZ_SEED` and `DYKETALLY_FUZZ_CASES` give others.
fn runner() -> RunnerConfig {
    let number = |variable: &str, default: u64| {
        let text = std::env::var(variable).ok();
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let seed = number("DYKETALLY_FUZZ_SEED", 2_027);
    let cases = number("DYKETALLY_FUZZ_CASES", 48);
    PRINT_ONCE.call_once(|| {
        println!("DYKETALLY_FUZZ_SEED={seed} DYKETALLY_FUZZ_CASES={cases}");
    });
    RunnerConfig {
        cases: u32::try_from(cases).unwrap_or(u32::MAX),
        rng_seed: RngSeed::Fixed(seed),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None::<Box<FileFailurePersistence>>.map(|it| it as _),
        max_shrink_iters: 200,
        ..RunnerConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(runner())]

    #[test]
    fn running_nodes_agree_after_healing(sequential 1..40 => MembershipTest);
}
