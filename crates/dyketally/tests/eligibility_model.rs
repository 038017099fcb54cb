//! Property tests of eligibility: whatever the regions of route and tenant and the condition of the database, no
//! statement is permitted that violates a region or a time bound. An implementation that leaves out a check is noticed.

use std::collections::BTreeSet;
use std::time::Duration;

use dyketally::eligibility::{
    DatabaseCondition, Demand, Denial, EligibilityBounds, Intent, ServingRegions,
    acceptable_regions, check_eligibility, preferred_region,
};
use dyketally::identifiers::{DatabaseName, RegionName};
use proptest::collection::btree_set;
use proptest::option;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, TestRunner};

const BOUNDS: EligibilityBounds = EligibilityBounds {
    drain: Duration::from_secs(10),
    evacuation: Duration::from_secs(5),
};
const REGIONS: [&str; 3] = ["north", "south", "west"];

fn region(name: &str) -> RegionName {
    RegionName::from(name)
}

/// The condition of a database.
#[derive(Clone, Debug, Default)]
struct State {
    fenced: bool,
    leaving_for: Option<Duration>,
    evacuated_for: Option<Duration>,
    has_successor: bool,
}

fn eligibility_of(intent: &Intent, region: &RegionName, state: &State) -> Result<(), Denial> {
    let database = DatabaseName::from("orders-1");
    let standing = DatabaseCondition {
        database: &database,
        region,
        fenced: state.fenced,
        leaving_for: state.leaving_for,
        evacuated_for: state.evacuated_for,
        has_successor: state.has_successor,
    };
    let permission = check_eligibility(intent, standing, BOUNDS)?;
    assert!(permission.is_for(&database));
    Ok(())
}

/// An attempt to send a statement to a database, which eligibility permits or denies.
#[derive(Clone, Debug)]
struct Attempt {
    route: Option<BTreeSet<usize>>,
    tenant: Option<BTreeSet<usize>>,
    region: usize,
    needs_leader: bool,
    begins: bool,
    state: State,
}

impl Attempt {
    fn intent(&self) -> Intent {
        let regions = |of: &Option<BTreeSet<usize>>| match of {
            Some(some) => ServingRegions::only(some.iter().map(|index| region(REGIONS[*index]))),
            None => ServingRegions::anywhere(),
        };
        match self.begins {
            true => Intent::first(
                &regions(&self.route).and(&regions(&self.tenant)),
                self.needs_leader,
            ),
            false => Intent::in_transaction(self.needs_leader),
        }
    }

    fn is_permitted(&self) -> bool {
        eligibility_of(&self.intent(), &region(REGIONS[self.region]), &self.state).is_ok()
    }

    /// The checks that the attempt violates, by the bounds in `BOUNDS`.
    fn violated_checks(&self) -> BTreeSet<Check> {
        let excludes = |regions: &Option<BTreeSet<usize>>| {
            regions
                .as_ref()
                .is_some_and(|it| !it.contains(&self.region))
        };
        let is_over = |time: Option<Duration>, bound| time.is_some_and(|time| time >= bound);
        let mut violated = BTreeSet::new();
        if self.begins && excludes(&self.route) {
            violated.insert(Check::Route);
        }
        if self.begins && excludes(&self.tenant) {
            violated.insert(Check::Tenant);
        }
        if self.begins && self.needs_leader && self.state.fenced {
            violated.insert(Check::Fence);
        }
        if self.begins && is_over(self.state.leaving_for, BOUNDS.drain) {
            violated.insert(Check::Drain);
        }
        if is_over(self.state.evacuated_for, BOUNDS.evacuation) {
            violated.insert(Check::Evacuation);
        }
        violated
    }

    /// The attempt as seen by an implementation that leaves out `check`.
    fn without(&self, check: Check) -> Self {
        let mut seen = self.clone();
        match check {
            Check::Route => seen.route = None,
            Check::Tenant => seen.tenant = None,
            Check::Fence => seen.state.fenced = false,
            Check::Drain => seen.state.leaving_for = None,
            Check::Evacuation => seen.state.evacuated_for = None,
        }
        seen
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Check {
    Route,
    Tenant,
    Fence,
    Drain,
    Evacuation,
}

const CHECKS: [Check; 5] = [
    Check::Route,
    Check::Tenant,
    Check::Fence,
    Check::Drain,
    Check::Evacuation,
];

fn some_regions() -> impl Strategy<Value = Option<BTreeSet<usize>>> {
    option::of(btree_set(0..REGIONS.len(), 0..=REGIONS.len()))
}

fn some_time() -> impl Strategy<Value = Option<Duration>> {
    option::of((0_u64..12_000).prop_map(Duration::from_millis))
}

fn some_state() -> impl Strategy<Value = State> {
    let parts = (any::<bool>(), some_time(), some_time(), any::<bool>());
    parts.prop_map(
        |(fenced, leaving_for, evacuated_for, has_successor)| State {
            fenced,
            leaving_for,
            evacuated_for,
            has_successor,
        },
    )
}

prop_compose! {
    fn attempt()(
        route in some_regions(),
        tenant in some_regions(),
        region in 0..REGIONS.len(),
        needs_leader in any::<bool>(),
        begins in any::<bool>(),
        state in some_state(),
    ) -> Attempt {
        Attempt { route, tenant, region, needs_leader, begins, state }
    }
}

proptest! {
    #![proptest_config(Config::with_cases(4_096))]

    #[test]
    fn no_permitted_attempt_violates_a_region_or_a_bound(attempt in attempt()) {
        prop_assert!(!attempt.is_permitted() || attempt.violated_checks().is_empty());
    }

    #[test]
    fn without_faults_only_regions_deny(attempt in attempt()) {
        let mut attempt = attempt;
        attempt.state = State::default();
        prop_assert_eq!(attempt.is_permitted(), attempt.violated_checks().is_empty());
    }

    #[test]
    fn a_denied_attempt_stays_denied_as_time_passes(attempt in attempt(), later in 0_u64..5_000) {
        let mut then = attempt.clone();
        let later = Duration::from_millis(later);
        then.state.leaving_for = attempt.state.leaving_for.map(|time| time + later);
        then.state.evacuated_for = attempt.state.evacuated_for.map(|time| time + later);
        prop_assert!(attempt.is_permitted() || !then.is_permitted());
    }

    #[test]
    fn a_primary_that_moved_is_not_moved_again(
        demands in proptest::collection::vec((some_regions(), 0.1_f64..100.0), 0..12),
        from in 0..REGIONS.len(),
    ) {
        let all: Vec<RegionName> = REGIONS.iter().map(|name| region(name)).collect();
        let demands: Vec<Demand> = demands
            .into_iter()
            .map(|(regions, weight)| Demand {
                regions: regions.map_or(ServingRegions::anywhere(), |some| {
                    ServingRegions::only(some.iter().map(|index| region(REGIONS[*index])))
                }),
                weight,
            })
            .collect();
        if let Some(to) = preferred_region(&demands, &all[from], &all) {
            prop_assert_eq!(preferred_region(&demands, &to, &all), None);
        }
        for best in acceptable_regions(&demands, &all) {
            prop_assert_eq!(preferred_region(&demands, &best, &all), None);
        }
    }
}

#[test]
fn a_check_that_is_left_out_is_noticed() {
    let mut runner = TestRunner::deterministic();
    let attempts: Vec<Attempt> = (0..4_096)
        .map(|_| {
            attempt()
                .new_tree(&mut runner)
                .expect("an attempt")
                .current()
        })
        .collect();
    for check in CHECKS {
        let noticed = attempts.iter().filter(|attempt| {
            attempt.without(check).is_permitted() && attempt.violated_checks().contains(&check)
        });
        assert!(noticed.count() > 0, "{check:?}");
    }
}
