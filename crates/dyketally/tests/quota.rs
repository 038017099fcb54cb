//! Quotas of tenants: the accountant's bucket, the share of a node without an accountant and, by fuzzing, the
//! operations that a whole fleet runs in any window of 5 s.

use std::collections::VecDeque;
use std::time::Duration;

use dyketally::identifiers::TenantName;
use dyketally::quota::{Accountant, Allowance, Decision, Role};
use dyketally::tenant::{OperationRate, Quota};
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

fn quota(rate: u32, burst: u32) -> Quota {
    Quota {
        rate: OperationRate::per_second(rate),
        burst,
    }
}

fn tenant() -> TenantName {
    TenantName::new("main")
}

fn granted(decision: Decision) -> u32 {
    match decision {
        Decision::Granted { operations, .. } => operations,
        Decision::Refused { .. } => 0,
    }
}

#[rstest]
#[case::small(3, 3)]
#[case::middle(20, 20)]
#[case::large(200, 200)]
#[case::large_burst(10, 100)]
fn a_steady_caller_gets_the_rate_and_no_more(#[case] rate: u32, #[case] burst: u32) {
    let quota = quota(rate, burst);
    let mut accountant = Accountant::new(0);
    let mut run = 0;
    // Ten times the rate, for 20 s.
    let calls = u64::from(rate) * 10 * 20;
    for call in 0..calls {
        let now = Timestamp::from_micros(call * 100_000 / u64::from(rate));
        run += granted(accountant.decide(now, &tenant(), quota, 1, Role::Accountant, 1.0));
    }
    let steady = rate * 20;
    assert!(run >= steady, "{run} of {steady}");
    assert!(run <= steady + burst + rate, "{run} of {steady}");
}

#[test]
fn below_the_rate_nothing_is_refused() {
    let quota = quota(8, 8);
    let mut accountant = Accountant::new(0);
    for call in 0..1_000 {
        let now = Timestamp::from_millis(call * 130);
        assert_eq!(
            granted(accountant.decide(now, &tenant(), quota, 1, Role::Accountant, 1.0)),
            1
        );
    }
}

#[test]
fn refused_requests_get_increasing_retry_afters() {
    let quota = quota(2, 1);
    let mut accountant = Accountant::new(0);
    let now = Timestamp::from_millis(0);
    granted(accountant.decide(now, &tenant(), quota, 1, Role::Accountant, 1.0));
    let mut retry_afters =
        (0..3).map(
            |_| match accountant.decide(now, &tenant(), quota, 1, Role::Accountant, 1.0) {
                Decision::Refused { retry_after } => retry_after,
                granted => panic!("{granted:?}"),
            },
        );
    assert_eq!(retry_afters.next(), Some(Duration::from_millis(500)));
    assert_eq!(retry_afters.next(), Some(Duration::from_millis(1_000)));
    assert_eq!(retry_afters.next(), Some(Duration::from_millis(1_500)));
}

#[test]
fn a_grant_may_wait_for_the_next_token() {
    let quota = quota(10, 1);
    let mut accountant = Accountant::new(0);
    let now = Timestamp::from_millis(0);
    let mut waits =
        (0..4).map(|_| accountant.decide(now, &tenant(), quota, 1, Role::Accountant, 1.0));
    let wait = |decision| match decision {
        Some(Decision::Granted { after, .. }) => Some(after),
        _ => None,
    };
    assert_eq!(wait(waits.next()), Some(Duration::ZERO));
    assert_eq!(wait(waits.next()), Some(Duration::from_millis(100)));
    assert_eq!(wait(waits.next()), Some(Duration::from_millis(200)));
    assert_eq!(wait(waits.next()), None);
}

#[test]
fn a_lower_limit_applies_at_once() {
    let mut accountant = Accountant::new(0);
    let now = Timestamp::from_millis(0);
    accountant.decide(now, &tenant(), quota(100, 100), 1, Role::Accountant, 1.0);
    let lowered = accountant.decide(now, &tenant(), quota(2, 2), 50, Role::Accountant, 1.0);
    assert_eq!(granted(lowered), 2);
}

#[test]
fn an_unused_permit_is_kept_for_the_next_operation_for_a_while() {
    let mut allowance = Allowance::new(Timestamp::ZERO, 0.0);
    assert!(!allowance.take(Timestamp::ZERO));
    allowance.granted(Timestamp::ZERO, 1, false);
    allowance.give_back(Timestamp::from_millis(5));
    assert!(allowance.take(Timestamp::from_millis(50)));
    allowance.give_back(Timestamp::from_millis(60));
    assert!(!allowance.take(Timestamp::from_millis(1_000)));
}

/// One of 60 nodes, without an accountant, requests an operation every `pause_ms` for 10 s, for a tenant with a quota
/// of 60/s. The node's share is one operation a second.
#[rstest]
#[case::within_its_share(false, 1_250, 8)]
#[case::beyond(false, 10, 3)]
#[case::strained(true, 10, 3)]
fn a_node_without_an_accountant_runs_its_share(
    #[case] strained: bool,
    #[case] pause_ms: u64,
    #[case] runs: usize,
) {
    let quota = quota(60, 60);
    let mut allowance = Allowance::new(Timestamp::ZERO, 0.0);
    allowance.granted(Timestamp::ZERO, 1, strained);
    let run = (0..10_000 / pause_ms).filter(|call| {
        let now = Timestamp::from_millis(call * pause_ms);
        allowance.take_alone(now, quota, 60).is_ok()
    });
    assert!((runs..=runs + 1).contains(&run.count()));
}

/// When nodes lose the accountant, a few may run an operation at once; the others wait for their share of the rate.
#[test]
fn few_of_many_nodes_run_an_operation_as_they_lose_the_accountant() {
    let quota = quota(12, 12);
    let nodes = 610;
    let free = (0..nodes).filter(|node| {
        let fraction = f64::from(*node) / f64::from(nodes);
        let mut allowance = Allowance::new(Timestamp::ZERO, fraction);
        allowance.take_alone(Timestamp::ZERO, quota, nodes).is_ok()
    });
    assert_eq!(free.count(), 40);
}

/// The mechanism that the fuzzed fleet leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// An accountant that takes over begins with a full bucket.
    CautiousStart,
    /// A node without an accountant runs every operation.
    ShareOfRateAlone,
    /// An accountant and its stand-ins each grant the whole rate, however few nodes they reach.
    Reach,
}

const NODES: usize = 20;
/// Operations that a window may hold beyond rate and burst.
const TOLERATED: u32 = 20;
const WINDOW: Duration = Duration::from_secs(5);
const LENGTH_MS: u64 = 30_000;
/// How long a measured reach is used before it is measured again.
const REACH_VALID_FOR: Duration = Duration::from_secs(1);
/// Length of the alternating phases in which a tenant is hot or not, in milliseconds.
const HOT_MS: f64 = 6_500.0;

/// A fleet whose nodes request permits from one of two accountants, over a network that delays messages, cuts nodes off
/// and splits.
struct Fleet {
    rng: StdRng,
    quota: Quota,
    without: Without,
    accountants: [Accountant; 2],
    nodes: Vec<Allowance>,
    /// Whether each node is cut off from all others.
    cut: Vec<bool>,
    /// Nodes with an index below this one are split off from the others, with the stand-in among them.
    split: usize,
    /// The index of the acting accountant; the other one is the stand-in.
    acting: usize,
    /// When each of the two accountants last measured its reach, and the share of the nodes that it reached.
    reaches: [(Timestamp, f64); 2],
    with_faults: bool,
    /// When operations ran.
    arrivals: VecDeque<Timestamp>,
    /// The largest number of operations found in a window so far.
    most: usize,
    refused: usize,
    requested: usize,
}

impl Fleet {
    fn new(seed: u64, quota: Quota, without: Without) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            quota,
            without,
            accountants: [Accountant::new(TOLERATED), Accountant::new(TOLERATED)],
            nodes: (0..NODES)
                .map(|node| Allowance::new(Timestamp::ZERO, node as f64 / NODES as f64))
                .collect(),
            cut: vec![false; NODES],
            split: 0,
            reaches: [(Timestamp::ZERO, 1.0); 2],
            acting: 0,
            with_faults: true,
            arrivals: VecDeque::new(),
            most: 0,
            refused: 0,
            requested: 0,
        }
    }

    /// Requests one operation at a random node, which runs it if there is a permit.
    fn ask(&mut self, now: Timestamp) {
        let node = self.rng.random_range(0..NODES);
        self.requested += 1;
        if self.nodes[node].take(now) {
            return self.run(now);
        }
        let alone = self.cut[node];
        if alone {
            let share_granted = self.nodes[node].take_alone(now, self.quota, NODES as u32);
            match share_granted.is_ok() || self.without == Without::ShareOfRateAlone {
                true => self.run(now),
                false => self.refused += 1,
            }
            return;
        }
        let wanted = self.nodes[node].wanted();
        let is_split_off = node < self.split;
        let (index, role) = match is_split_off {
            true => (1 - self.acting, Role::StandIn),
            false => (self.acting, Role::Accountant),
        };
        let reach = match self.without {
            Without::Reach => 1.0,
            _ => self.reach(now, index, is_split_off),
        };
        let accountant = &mut self.accountants[index];
        match accountant.decide(now, &tenant(), self.quota, wanted, role, reach) {
            Decision::Granted {
                operations,
                after,
                strained,
            } => {
                self.nodes[node].granted(now, operations, strained);
                let delay = Duration::from_millis(self.rng.random_range(1..40));
                self.run(now + after + delay);
            }
            Decision::Refused { .. } => self.refused += 1,
        }
    }

    /// The share of the nodes that one of the two accountants reaches, as last measured.
    fn reach(&mut self, now: Timestamp, index: usize, split_off: bool) -> f64 {
        let (since, _) = self.reaches[index];
        if now.saturating_since(since) >= REACH_VALID_FOR {
            let reached = |node: &usize| !self.cut[*node] && (*node < self.split) == split_off;
            let reached = (0..NODES).filter(reached).count();
            self.reaches[index] = (now, reached as f64 / NODES as f64);
        }
        self.reaches[index].1
    }

    fn run(&mut self, at: Timestamp) {
        let first = self.arrivals.partition_point(|arrival| *arrival <= at);
        self.arrivals.insert(first, at);
    }

    /// The largest number of operations in any window.
    fn measure(&mut self) -> usize {
        let mut oldest = 0;
        for newest in 0..self.arrivals.len() {
            while self.arrivals[newest].saturating_since(self.arrivals[oldest]) > WINDOW {
                oldest += 1;
            }
            self.most = self.most.max(newest + 1 - oldest);
        }
        self.most
    }

    /// The accountant is lost and another takes over.
    fn take_over(&mut self) {
        self.acting = 1 - self.acting;
        if self.rng.random_bool(0.5) {
            self.accountants[self.acting] = self.new_accountant();
        }
    }

    fn new_accountant(&self) -> Accountant {
        match self.without {
            Without::CautiousStart => Accountant::new(TOLERATED).with_new_share(1.0),
            _ => Accountant::new(TOLERATED),
        }
    }

    /// Plays a run in which the tenant alternates between the usual load, 1/1.6 of its rate, and `load` times as much.
    fn play(&mut self, rate: u32, load: f64) {
        self.accountants = [self.new_accountant(), self.new_accountant()];
        let usual = f64::from(rate) / 1.6;
        let mut at_ms = 0.0;
        let mut next_fault = 3_000.0;
        while at_ms < LENGTH_MS as f64 {
            let is_hot = (at_ms / HOT_MS) as u64 % 2 == 1;
            let mean_ms = 1_000.0 / (usual * if is_hot { load } else { 1.0 });
            at_ms += -mean_ms * (1.0 - self.rng.random::<f64>()).ln();
            let now = Timestamp::from_micros((at_ms * 1_000.0) as u64);
            self.ask(now);
            if self.with_faults && at_ms > next_fault {
                next_fault = at_ms + self.rng.random_range(5_000.0..9_000.0);
                match self.rng.random_range(0..4) {
                    0 => self.take_over(),
                    1 => self.split = self.rng.random_range(0..=NODES / 2),
                    2 => {
                        let cut = self.rng.random_range(0..=NODES / 5);
                        for node in 0..NODES {
                            self.cut[node] = node < cut;
                        }
                    }
                    _ => {
                        self.cut.fill(false);
                        self.split = 0;
                    }
                }
            }
        }
    }
}

/// The most operations that a window may hold: (rate x window + burst) x 1.1 + `TOLERATED`.
fn allowed(rate: u32, burst: u32) -> usize {
    let base = f64::from(rate) * WINDOW.as_secs_f64() + f64::from(burst);
    (base * 1.1) as usize + TOLERATED as usize
}

const SEEDS: std::ops::Range<u64> = 0..40;

fn worst_excess(rate: u32, load: f64, without: Without) -> i64 {
    let most = SEEDS.map(|seed| {
        let mut fleet = Fleet::new(seed, quota(rate, rate), without);
        fleet.play(rate, load);
        fleet.measure()
    });
    most.max().unwrap_or(0) as i64 - allowed(rate, rate) as i64
}

#[rstest]
fn no_window_holds_more_than_is_allowed(
    #[values(3, 12, 40, 200)] rate: u32,
    #[values(1.0, 3.0, 7.5)] load: f64,
) {
    let excess = worst_excess(rate, load, Without::Nothing);
    assert!(excess <= 0, "{excess} too many at {rate}/s, load {load}");
}

#[rstest]
#[case::alone(Without::ShareOfRateAlone)]
#[case::start(Without::CautiousStart)]
#[case::reach(Without::Reach)]
fn each_omitted_mechanism_causes_an_excess(#[case] without: Without) {
    let excess = worst_excess(200, 7.5, without);
    assert!(
        excess > 0,
        "without {without:?} no window exceeds the limit: {excess}"
    );
}

/// At the usual load, less than 5% is refused while nodes are cut off and accountants change, and less than 0.1%
/// without faults.
#[rstest]
fn little_is_refused_at_the_usual_load(
    #[values(3, 12, 40, 200)] rate: u32,
    #[values((true, 0.05), (false, 0.001))] (with_faults, share): (bool, f64),
) {
    let (mut refused, mut requested) = (0, 0);
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed, quota(rate, rate), Without::Nothing);
        fleet.with_faults = with_faults;
        fleet.play(rate, 1.0);
        refused += fleet.refused;
        requested += fleet.requested;
    }
    println!("{rate}/s, with_faults {with_faults}: {refused} of {requested}");
    let limit = requested as f64 * share;
    assert!(
        (refused as f64) < limit,
        "{refused} of {requested} at {rate}/s"
    );
}
