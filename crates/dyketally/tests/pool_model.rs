//! Stateful fuzzing of the connection pool against a database with a connection limit.

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::identifiers::TenantName;
use dyketally::pool::{ConnectionId, Pool, PoolAction, PoolSettings, Refusal, ReleaseCondition};
use dyketally::retry::Backoff;
use dyketally::time::Timestamp;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::StdRng;

const TENANTS: usize = 3;
const LIMIT: u32 = 8;
const RESERVE: u32 = 2;
const SETTINGS: PoolSettings = PoolSettings {
    connection_limit: LIMIT,
    minimum_open: 2,
    reserve: RESERVE,
    idle_timeout: Duration::from_secs(2),
    concurrent_connects: 4,
    backoff: Backoff {
        first: Duration::from_millis(20),
        longest: Duration::from_secs(1),
    },
};

#[derive(Clone, Debug)]
enum Step {
    Acquire {
        tenant: usize,
    },
    Pin(Index),
    Release {
        which: Index,
        dirty: bool,
    },
    /// An attempt to connect ends. It succeeds if the database has a free connection and accepts new ones.
    Connect {
        which: Index,
        accepts: bool,
    },
    CloseEnds(Index),
    Lose(Index),
    Poll {
        demand: u32,
    },
    AdvanceClock {
        milliseconds: u64,
    },
    /// Sets the number of connections that other nodes hold at the database.
    Others(u32),
    Leave,
    Readmit,
}

/// The generator of steps. It keeps no state: `Harness` works out the expected results next to the pool.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let release = (any::<Index>(), prop::bool::weighted(0.2));
        let connect = (any::<Index>(), prop::bool::weighted(0.9));
        prop_oneof![
            6 => (0..TENANTS).prop_map(|tenant| Step::Acquire { tenant }),
            2 => any::<Index>().prop_map(Step::Pin),
            4 => release.prop_map(|(which, dirty)| Step::Release { which, dirty }),
            5 => connect.prop_map(|(which, accepts)| Step::Connect { which, accepts }),
            3 => any::<Index>().prop_map(Step::CloseEnds),
            1 => any::<Index>().prop_map(Step::Lose),
            4 => (0_u32..10).prop_map(|demand| Step::Poll { demand }),
            3 => (0_u64..1_500).prop_map(|milliseconds| Step::AdvanceClock { milliseconds }),
            1 => (0..LIMIT).prop_map(Step::Others),
            1 => Just(Step::Leave),
            2 => Just(Step::Readmit),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Connecting,
    Idle,
    Held { tenant: usize },
    Closing,
}

struct Harness {
    pool: Pool,
    random: StdRng,
    now: Timestamp,
    others: u32,
    leaving: bool,
    connections: BTreeMap<ConnectionId, State>,
}

fn name(tenant: usize) -> TenantName {
    TenantName::new(format!("tenant-{tenant}"))
}

impl Harness {
    fn count(&self, is: impl Fn(State) -> bool) -> u32 {
        let matching = self.connections.values().filter(|seen| is(**seen));
        matching.count() as u32
    }

    fn granted(&self) -> u32 {
        self.count(|seen| seen != State::Connecting)
    }

    fn select(&self, which: Index, is: impl Fn(State) -> bool) -> Option<ConnectionId> {
        let matching = self.connections.iter().filter(|(_, seen)| is(**seen));
        let matching: Vec<ConnectionId> = matching.map(|(connection, _)| *connection).collect();
        (!matching.is_empty()).then(|| *which.get(&matching))
    }

    fn select_held(&self, which: Index) -> Option<ConnectionId> {
        self.select(which, |seen| matches!(seen, State::Held { .. }))
    }

    fn acquire(&mut self, tenant: usize) {
        let held = self.count(|seen| matches!(seen, State::Held { .. }));
        let Some(connection) = self.pool.acquire(self.now, &name(tenant), 1) else {
            let held_by_tenant = self.count(|seen| seen == State::Held { tenant });
            let idle = self.count(|seen| seen == State::Idle);
            let limit = self.pool.status().learned_limit;
            let refusable = self.leaving || idle == 0 || held >= limit || held_by_tenant > 0;
            assert!(
                refusable,
                "a tenant without connections was refused an idle one"
            );
            return;
        };
        assert!(!self.leaving, "a leaving database got a new statement");
        let before = self.connections.insert(connection, State::Held { tenant });
        assert_eq!(
            before,
            Some(State::Idle),
            "only an idle connection is acquired"
        );
    }

    fn release(&mut self, connection: ConnectionId, dirty: bool) {
        let condition = if dirty {
            ReleaseCondition::Dirty
        } else {
            ReleaseCondition::Clean
        };
        let action = self.pool.release(self.now, connection, condition);
        assert!(
            !dirty || action.is_some(),
            "a dirty connection must be closed"
        );
        self.settle(connection, action);
    }

    fn connect(&mut self, connection: ConnectionId, accepts: bool) {
        let room = self.granted() + self.others < LIMIT;
        if accepts && room {
            let action = self.pool.connected(self.now, connection);
            self.settle(connection, action);
            return;
        }
        let refusal = if room {
            Refusal::CannotConnectNow
        } else {
            Refusal::TooManyConnections
        };
        self.connections.remove(&connection);
        self.pool
            .refused(self.now, connection, refusal, &mut self.random);
        let actions = self.pool.poll(self.now, LIMIT);
        let opens = actions
            .iter()
            .any(|it| matches!(it, PoolAction::Open { .. }));
        assert!(!opens, "the pool connects again at once after a refusal");
        self.perform(actions);
    }

    fn settle(&mut self, connection: ConnectionId, action: Option<PoolAction>) {
        let seen = match action {
            None => State::Idle,
            Some(action) => {
                assert_eq!(action, PoolAction::Close { connection });
                State::Closing
            }
        };
        self.connections.insert(connection, seen);
    }

    fn perform(&mut self, actions: Vec<PoolAction>) {
        for action in actions {
            match action {
                PoolAction::Open { connection } => {
                    assert!(!self.leaving, "a leaving database gets no connection");
                    let before = self.connections.insert(connection, State::Connecting);
                    assert_eq!(before, None);
                }
                PoolAction::Close { connection } => {
                    let before = self.connections.insert(connection, State::Closing);
                    assert_eq!(
                        before,
                        Some(State::Idle),
                        "only idle connections are retired"
                    );
                }
            }
        }
    }
}

struct PoolTest;

impl StateMachineTest for PoolTest {
    type SystemUnderTest = Harness;
    type Reference = Steps;

    fn init_test((): &()) -> Harness {
        Harness {
            pool: Pool::new(SETTINGS),
            random: StdRng::seed_from_u64(1),
            now: Timestamp::ZERO,
            others: 0,
            leaving: false,
            connections: BTreeMap::new(),
        }
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        match step {
            Step::Acquire { tenant } => harness.acquire(tenant),
            Step::Pin(which) => {
                if let Some(connection) = harness.select_held(which) {
                    harness.pool.pin(connection);
                }
            }
            Step::Release { which, dirty } => {
                if let Some(connection) = harness.select_held(which) {
                    harness.release(connection, dirty);
                }
            }
            Step::Connect { which, accepts } => {
                if let Some(connection) = harness.select(which, |seen| seen == State::Connecting) {
                    harness.connect(connection, accepts);
                }
            }
            Step::CloseEnds(which) => {
                if let Some(connection) = harness.select(which, |seen| seen == State::Closing) {
                    harness.connections.remove(&connection);
                    harness.pool.closed(connection);
                }
            }
            Step::Lose(which) => {
                if let Some(connection) = harness.select(which, |seen| seen != State::Closing) {
                    harness.connections.remove(&connection);
                    harness.pool.closed(connection);
                }
            }
            Step::Poll { demand } => {
                let actions = harness.pool.poll(harness.now, demand);
                harness.perform(actions);
            }
            Step::AdvanceClock { milliseconds } => {
                harness.now = harness.now + Duration::from_millis(milliseconds);
            }
            Step::Others(others) => harness.others = others,
            Step::Leave => {
                harness.leaving = true;
                harness.pool.begin_drain();
            }
            Step::Readmit => {
                harness.leaving = false;
                harness.pool.end_drain();
            }
        }
        harness
    }

    fn check_invariants(harness: &Harness, (): &()) {
        let status = harness.pool.status();
        assert!(harness.connections.len() <= LIMIT as usize);
        assert!((1..=LIMIT).contains(&status.learned_limit));
        assert_eq!(
            status.connecting,
            harness.count(|seen| seen == State::Connecting)
        );
        assert_eq!(status.idle, harness.count(|seen| seen == State::Idle));
        assert_eq!(status.closing, harness.count(|seen| seen == State::Closing));
        let held = harness.count(|seen| matches!(seen, State::Held { .. }));
        assert_eq!(status.busy + status.pinned, held);
        assert_eq!(status.counters.unexpected_reports, 0);
        for tenant in 0..TENANTS {
            let seen = harness.count(|seen| seen == State::Held { tenant });
            let counted = status.held.get(&name(tenant)).copied().unwrap_or_default();
            assert_eq!(counted, seen);
        }
    }
}

prop_state_machine! {
    #[test]
    fn connections_are_counted_and_acquired_once(sequential 1..200 => PoolTest);
}
