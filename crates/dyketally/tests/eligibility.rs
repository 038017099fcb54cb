//! Whether a statement may run at a database, which region a primary should be in, and evacuations of zones.

use std::collections::BTreeSet;
use std::time::Duration;

use dyketally::eligibility::{
    DatabaseCondition, Demand, Denial, EligibilityBounds, EvacuationChange, Evacuations, Intent,
    ServingRegions, acceptable_regions, check_eligibility, may_pass_through, preferred_region,
};
use dyketally::identifiers::{DatabaseName, RegionName, ZoneName};
use dyketally::time::Timestamp;

const BOUNDS: EligibilityBounds = EligibilityBounds {
    drain: Duration::from_secs(10),
    evacuation: Duration::from_secs(5),
};
const REGIONS: [&str; 3] = ["north", "south", "west"];

fn region(name: &str) -> RegionName {
    RegionName::from(name)
}

fn only(names: &[&str]) -> ServingRegions {
    ServingRegions::only(names.iter().map(|name| region(name)))
}

fn seconds(seconds: f64) -> Option<Duration> {
    Some(Duration::from_secs_f64(seconds))
}

/// The condition of a database in the region "north".
#[derive(Clone, Debug, Default)]
struct State {
    fenced: bool,
    leaving_for: Option<Duration>,
    evacuated_for: Option<Duration>,
    has_successor: bool,
}

fn leaving(for_seconds: f64) -> State {
    State {
        leaving_for: seconds(for_seconds),
        ..State::default()
    }
}

fn evacuated(for_seconds: f64) -> State {
    State {
        evacuated_for: seconds(for_seconds),
        has_successor: true,
        ..State::default()
    }
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

fn read() -> Intent {
    Intent::first(&ServingRegions::anywhere(), false)
}

fn write() -> Intent {
    Intent::first(&ServingRegions::anywhere(), true)
}

#[test]
fn statements_are_denied_by_the_condition_of_the_database() {
    let fenced = State {
        fenced: true,
        ..State::default()
    };
    let alone = State {
        has_successor: false,
        ..evacuated(1.8)
    };
    let further = Intent::in_transaction(true);
    let cases: [(&str, Intent, State, Result<(), Denial>); 18] = [
        ("a read", read(), State::default(), Ok(())),
        ("a write", write(), State::default(), Ok(())),
        (
            "a read at a fenced database",
            read(),
            fenced.clone(),
            Ok(()),
        ),
        (
            "a write at a fenced database",
            write(),
            fenced.clone(),
            Err(Denial::BeingReplaced),
        ),
        (
            "an open transaction at a fenced database",
            further.clone(),
            fenced,
            Ok(()),
        ),
        (
            "a read at a leaving database",
            read(),
            leaving(0.0),
            Err(Denial::Leaving),
        ),
        (
            "a write at a leaving database",
            write(),
            leaving(5.9),
            Ok(()),
        ),
        (
            "a write at a database that has been leaving for long",
            write(),
            leaving(6.0),
            Err(Denial::Leaving),
        ),
        (
            "an open transaction at a leaving database",
            further.clone(),
            leaving(60.0),
            Ok(()),
        ),
        (
            "a read in an evacuated zone",
            read(),
            evacuated(0.0),
            Err(Denial::Evacuated),
        ),
        (
            "a write in an evacuated zone",
            write(),
            evacuated(1.74),
            Ok(()),
        ),
        (
            "a late write in an evacuated zone",
            write(),
            evacuated(1.75),
            Err(Denial::Evacuated),
        ),
        (
            "a write in an evacuated zone without a successor",
            write(),
            alone.clone(),
            Err(Denial::EvacuatedEverywhere),
        ),
        (
            "a read in an evacuated zone without a successor",
            read(),
            alone,
            Err(Denial::EvacuatedEverywhere),
        ),
        (
            "an open transaction in an evacuated zone",
            further.clone(),
            evacuated(2.49),
            Ok(()),
        ),
        (
            "a late statement of a transaction in an evacuated zone",
            further.clone(),
            evacuated(2.5),
            Err(Denial::Evacuated),
        ),
        (
            "a late read of a transaction in an evacuated zone",
            Intent::in_transaction(false),
            evacuated(2.5),
            Err(Denial::Evacuated),
        ),
        (
            "a write in a zone evacuated for an unknown time",
            write(),
            State {
                evacuated_for: Some(Duration::MAX),
                ..evacuated(0.0)
            },
            Err(Denial::Evacuated),
        ),
    ];
    for (name, intent, state, expected) in cases {
        assert_eq!(
            eligibility_of(&intent, &region("north"), &state),
            expected,
            "{name}"
        );
    }
}

#[test]
fn regions_of_route_and_tenant_both_apply() {
    let cases: [(&str, ServingRegions, ServingRegions, bool); 7] = [
        (
            "neither",
            ServingRegions::anywhere(),
            ServingRegions::anywhere(),
            true,
        ),
        (
            "the route, here",
            only(&["north"]),
            ServingRegions::anywhere(),
            true,
        ),
        (
            "the route, elsewhere",
            only(&["south"]),
            ServingRegions::anywhere(),
            false,
        ),
        (
            "the tenant, elsewhere",
            ServingRegions::anywhere(),
            only(&["south"]),
            false,
        ),
        (
            "both, here",
            only(&["north", "south"]),
            only(&["north", "west"]),
            true,
        ),
        (
            "both, one elsewhere",
            only(&["north", "south"]),
            only(&["west", "south"]),
            false,
        ),
        (
            "both, without a common region",
            only(&["north"]),
            only(&["south"]),
            false,
        ),
    ];
    for (name, route, tenant, allowed) in cases {
        for regions in [route.and(&tenant), tenant.and(&route)] {
            let intent = Intent::first(&regions, false);
            let expected = match allowed {
                true => Ok(()),
                false => Err(Denial::OutsideRegions),
            };
            let here = region("north");
            assert_eq!(
                eligibility_of(&intent, &here, &State::default()),
                expected,
                "{name}"
            );
            assert_eq!(may_pass_through(&regions, &here), allowed, "{name}");
        }
    }
}

#[test]
fn regions_are_displayed_for_operators() {
    assert_eq!(ServingRegions::anywhere().to_string(), "anywhere");
    assert_eq!(only(&["south", "north"]).to_string(), "north, south");
    assert_eq!(
        only(&["north"]).and(&only(&["south"])).to_string(),
        "nowhere"
    );
}

#[test]
fn denials_that_waiting_does_not_end_are_lasting() {
    let lasting = [Denial::OutsideRegions, Denial::EvacuatedEverywhere];
    let passing = [
        Denial::Leaderless,
        Denial::BeingReplaced,
        Denial::Leaving,
        Denial::Evacuated,
    ];
    assert!(lasting.into_iter().all(Denial::is_lasting));
    assert!(!passing.into_iter().any(Denial::is_lasting));
    let kinds: BTreeSet<&str> = lasting
        .into_iter()
        .chain(passing)
        .map(Denial::kind)
        .collect();
    assert_eq!(kinds.len(), lasting.len() + passing.len());
}

fn demand(regions: ServingRegions, weight: f64) -> Demand {
    Demand { regions, weight }
}

#[test]
fn a_primary_moves_only_to_a_region_that_serves_much_more() {
    let all: Vec<RegionName> = REGIONS.iter().map(|name| region(name)).collect();
    let anywhere = demand(ServingRegions::anywhere(), 1.0);
    let cases: [(&str, Vec<Demand>, Option<&str>); 6] = [
        ("no demand", vec![], None),
        ("all regions serve", vec![anywhere.clone()], None),
        (
            "no demand in the current region",
            vec![demand(only(&["west"]), 0.1)],
            Some("west"),
        ),
        (
            "a little more elsewhere",
            vec![anywhere.clone(), demand(only(&["south"]), 0.25)],
            None,
        ),
        (
            "much more elsewhere",
            vec![anywhere, demand(only(&["south"]), 0.26)],
            Some("south"),
        ),
        (
            "of equal regions the first by name",
            vec![demand(only(&["west", "south"]), 1.0)],
            Some("south"),
        ),
    ];
    for (name, demands, expected) in cases {
        let preferred = preferred_region(&demands, &region("north"), &all);
        assert_eq!(preferred, expected.map(region), "{name}");
    }
    let one = [demand(only(&["west"]), 1.0)];
    assert_eq!(
        preferred_region(&one, &region("north"), &[region("south")]),
        None
    );
}

#[test]
fn a_primary_stays_where_it_moved_though_tenants_exclude_each_other() {
    let demands = [demand(only(&["north"]), 1.0), demand(only(&["south"]), 1.2)];
    let all = [region("north"), region("south")];
    for current in &all {
        assert_eq!(preferred_region(&demands, current, &all), None);
    }
}

#[test]
fn a_successor_is_chosen_in_a_region_where_it_may_stay() {
    let all: Vec<RegionName> = REGIONS.iter().map(|name| region(name)).collect();
    let demands = [
        demand(only(&["north", "south"]), 2.0),
        demand(only(&["south"]), 0.4),
    ];
    assert_eq!(
        acceptable_regions(&demands, &all),
        [region("north"), region("south")]
    );
    assert_eq!(acceptable_regions(&demands, &all[2..]), [region("west")]);
    assert_eq!(acceptable_regions(&[], &all), all);
    assert_eq!(acceptable_regions(&demands, &[]), []);
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().map(|name| ZoneName::from(*name)).collect()
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

#[test]
fn an_evacuation_counts_from_its_first_request() {
    let mut evacuations = Evacuations::default();
    let east = ZoneName::from("east");
    let began = evacuations.record_request(at(1_000), east.clone());
    assert_eq!(began, Some(EvacuationChange::Began(east.clone())));
    assert_eq!(evacuations.record_request(at(2_000), east.clone()), None);
    assert_eq!(evacuations.replace_all(&zones(&["east"])), []);
    assert_eq!(evacuations.evacuated_for(&east, at(3_000)), seconds(2.0));
    let ended = evacuations.record_cancelled(&east);
    assert_eq!(ended, Some(EvacuationChange::Ended(east.clone())));
    assert_eq!(evacuations.record_cancelled(&east), None);
    assert_eq!(evacuations.evacuated_for(&east, at(3_000)), None);
    evacuations.record_request(at(9_000), east.clone());
    assert_eq!(evacuations.evacuated_for(&east, at(9_500)), seconds(0.5));
}

#[test]
fn an_evacuation_already_in_force_is_of_unknown_age() {
    let mut evacuations = Evacuations::default();
    let (east, west) = (ZoneName::from("east"), ZoneName::from("west"));
    evacuations.record_request(at(1_000), east.clone());
    let changes = evacuations.replace_all(&zones(&["west"]));
    let expected = [
        EvacuationChange::Ended(east),
        EvacuationChange::Began(west.clone()),
    ];
    assert_eq!(changes, expected);
    assert_eq!(
        evacuations.evacuated_for(&west, at(1_000)),
        Some(Duration::MAX)
    );
    assert_eq!(evacuations.zones().collect::<Vec<_>>(), [&west]);
    let state = State {
        evacuated_for: evacuations.evacuated_for(&west, at(1_000)),
        has_successor: true,
        ..State::default()
    };
    for intent in [read(), write(), Intent::in_transaction(true)] {
        assert_eq!(
            eligibility_of(&intent, &region("north"), &state),
            Err(Denial::Evacuated)
        );
    }
}
