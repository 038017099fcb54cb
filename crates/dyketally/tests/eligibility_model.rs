//! Whatever the configuration, the places and the state: nothing is permitted that breaks a place or a
//! bound, and each check that is left out is noticed.

use std::collections::BTreeSet;
use std::time::Duration;

use dyketally::eligibility::{
    Demand, Denial, EligibilityBounds, Intent, ServingRegions, Standing, best_regions, judge,
    preferred_region,
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

/// How a database stands.
#[derive(Clone, Debug, Default)]
struct State {
    fenced: bool,
    leaving_for: Option<Duration>,
    evacuated_for: Option<Duration>,
    has_successor: bool,
}

fn judged(intent: &Intent, region: &RegionName, state: &State) -> Result<(), Denial> {
    let database = DatabaseName::from("orders-1");
    let standing = Standing {
        database: &database,
        region,
        fenced: state.fenced,
        leaving_for: state.leaving_for,
        evacuated_for: state.evacuated_for,
        has_successor: state.has_successor,
    };
    let permission = judge(intent, standing, BOUNDS)?;
    assert!(permission.is_for(&database));
    Ok(())
}

/// A sending of which it is asked whether it is permitted.
#[derive(Clone, Debug)]
struct Sending {
    route: Option<BTreeSet<usize>>,
    tenant: Option<BTreeSet<usize>>,
    region: usize,
    needs_leader: bool,
    begins: bool,
    state: State,
}

impl Sending {
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
            false => Intent::further(self.needs_leader),
        }
    }

    fn is_permitted(&self) -> bool {
        judged(&self.intent(), &region(REGIONS[self.region]), &self.state).is_ok()
    }

    /// What a sending would break, each by the bound that it has from outside.
    fn breaks(&self) -> BTreeSet<Check> {
        let excludes = |regions: &Option<BTreeSet<usize>>| {
            regions
                .as_ref()
                .is_some_and(|it| !it.contains(&self.region))
        };
        let is_over = |time: Option<Duration>, bound| time.is_some_and(|time| time >= bound);
        let mut broken = BTreeSet::new();
        if self.begins && excludes(&self.route) {
            broken.insert(Check::Route);
        }
        if self.begins && excludes(&self.tenant) {
            broken.insert(Check::Tenant);
        }
        if self.begins && self.needs_leader && self.state.fenced {
            broken.insert(Check::Fence);
        }
        if self.begins && is_over(self.state.leaving_for, BOUNDS.drain) {
            broken.insert(Check::Drain);
        }
        if is_over(self.state.evacuated_for, BOUNDS.evacuation) {
            broken.insert(Check::Evacuation);
        }
        broken
    }

    /// The sending as it looks to a judge that leaves out a check.
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
    fn sending()(
        route in some_regions(),
        tenant in some_regions(),
        region in 0..REGIONS.len(),
        needs_leader in any::<bool>(),
        begins in any::<bool>(),
        state in some_state(),
    ) -> Sending {
        Sending { route, tenant, region, needs_leader, begins, state }
    }
}

proptest! {
    #![proptest_config(Config::with_cases(4_096))]

    #[test]
    fn nothing_is_permitted_that_breaks_a_place_or_a_bound(sending in sending()) {
        prop_assert!(!sending.is_permitted() || sending.breaks().is_empty());
    }

    #[test]
    fn a_region_alone_denies_nothing_that_it_serves(sending in sending()) {
        let mut sending = sending;
        sending.state = State::default();
        prop_assert_eq!(sending.is_permitted(), sending.breaks().is_empty());
    }

    #[test]
    fn what_is_denied_stays_denied_as_time_goes_on(sending in sending(), later in 0_u64..5_000) {
        let mut then = sending.clone();
        let later = Duration::from_millis(later);
        then.state.leaving_for = sending.state.leaving_for.map(|time| time + later);
        then.state.evacuated_for = sending.state.evacuated_for.map(|time| time + later);
        prop_assert!(sending.is_permitted() || !then.is_permitted());
    }

    #[test]
    fn a_primary_that_moved_stays(
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
        for best in best_regions(&demands, &all) {
            prop_assert_eq!(preferred_region(&demands, &best, &all), None);
        }
    }
}

#[test]
fn a_check_that_is_left_out_is_noticed() {
    let mut runner = TestRunner::deterministic();
    let sendings: Vec<Sending> = (0..4_096)
        .map(|_| {
            sending()
                .new_tree(&mut runner)
                .expect("a sending")
                .current()
        })
        .collect();
    for check in CHECKS {
        let noticed = sendings.iter().filter(|sending| {
            sending.without(check).is_permitted() && sending.breaks().contains(&check)
        });
        assert!(noticed.count() > 0, "{check:?}");
    }
}
