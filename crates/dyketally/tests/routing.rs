//! Routes that an edge chooses, and a home's decision to serve a request.

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::group::{GroupView, LogPosition, MemberStatus, Role, Term};
use dyketally::identifiers::{DatabaseName, GroupName, Locality};
use dyketally::policy::{Access, DatabasePolicy, GroupPolicy};
use dyketally::routing::{
    Attempt, Route, RouteRequest, RouteSettings, RouteTable, ServeDecision, ServeRequest,
    ServeSettings, decide,
};
use dyketally::session::Freshness;
use dyketally::time::Timestamp;
use rstest::rstest;

const SEEN: Freshness = Freshness::AtLeast(LogPosition {
    term: Term(1),
    offset: 10,
});

fn name(text: &str) -> DatabaseName {
    DatabaseName::from(text)
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn locality(zone: &str) -> Locality {
    Locality {
        region: "south".into(),
        zone: zone.into(),
    }
}

fn group() -> GroupPolicy {
    let member = |(text, zone): &(&str, &str)| DatabasePolicy {
        name: name(text),
        address: "127.0.0.1:1".parse().unwrap(),
        locality: locality(zone),
        connection_limit: 40,
        slots: 5,
    };
    GroupPolicy {
        name: GroupName::from("stock"),
        members: [("a", "z1"), ("b", "z2"), ("c", "z3")]
            .iter()
            .map(member)
            .collect(),
        status_statement: String::new(),
        ledger_table: String::new(),
    }
}

struct Edge {
    group: GroupPolicy,
    locality: Locality,
    table: RouteTable,
}

impl Edge {
    fn new(zone: &str) -> Self {
        let mut table = RouteTable::new(RouteSettings::default());
        table.learn_primary(&GroupName::from("stock"), Some(name("a")), Term(1));
        Edge {
            group: group(),
            locality: locality(zone),
            table,
        }
    }

    fn choose(
        &mut self,
        access: Access,
        freshness: Freshness,
        attempt: &mut Attempt,
        now: Timestamp,
    ) -> Route {
        let request = RouteRequest {
            group: &self.group,
            access,
            freshness,
            locality: &self.locality,
        };
        self.table.choose(request, attempt, now)
    }

    /// Records that `replica` lacked the log position that a read needs.
    fn behind(&mut self, attempt: &mut Attempt, replica: &str, now: Timestamp) {
        let request = RouteRequest {
            group: &self.group,
            access: Access::Read,
            freshness: SEEN,
            locality: &self.locality,
        };
        self.table.behind(request, attempt, &name(replica), now);
    }

    fn first(&mut self, access: Access, freshness: Freshness) -> Route {
        self.choose(access, freshness, &mut Attempt::default(), at(0))
    }
}

#[rstest]
#[case::own_zone("z2", Access::Read, SEEN, "b")]
#[case::own_zone_without_a_needed_position("z3", Access::Read, Freshness::Any, "c")]
#[case::current_read("z2", Access::Read, Freshness::Current, "a")]
#[case::write("z2", Access::Write, SEEN, "a")]
fn first_choice(
    #[case] zone: &str,
    #[case] access: Access,
    #[case] freshness: Freshness,
    #[case] expected: &str,
) {
    let route = Edge::new(zone).first(access, freshness);
    assert_eq!(route, Route::Send(name(expected)));
}

#[test]
fn reads_beside_the_primary_are_spread_over_the_replicas() {
    let mut edge = Edge::new("z1");
    let mut counts = BTreeMap::new();
    for _ in 0..10 {
        let Route::Send(database) = edge.first(Access::Read, SEEN) else {
            panic!("a route is known");
        };
        *counts.entry(database).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([(name("b"), 5), (name("c"), 5)]));
}

#[test]
fn unreachable_databases_are_excluded_until_reachable() {
    let mut edge = Edge::new("z2");
    let stock = GroupName::from("stock");
    edge.table.unreachable(&stock, &name("b"), at(0));
    assert_eq!(edge.first(Access::Read, SEEN), Route::Send(name("c")));
    edge.table.unreachable(&stock, &name("c"), at(0));
    assert_eq!(edge.first(Access::Read, SEEN), Route::Send(name("a")));
    edge.table.reachable(&stock, &name("b"));
    assert_eq!(edge.first(Access::Read, SEEN), Route::Send(name("b")));
}

#[test]
fn redirects_are_followed_by_term_and_stale_ones_ignored() {
    let mut edge = Edge::new("z2");
    let stock = GroupName::from("stock");
    let mut attempt = Attempt::default();
    assert_eq!(
        edge.choose(Access::Read, SEEN, &mut attempt, at(0)),
        Route::Send(name("b"))
    );
    edge.table
        .redirected(&stock, &mut attempt, Some(name("c")), Term(3));
    assert_eq!(
        edge.choose(Access::Read, SEEN, &mut attempt, at(0)),
        Route::Send(name("c"))
    );
    edge.table
        .redirected(&stock, &mut attempt, Some(name("a")), Term(2));
    assert_eq!(edge.table.primary(&stock), Some(&name("c")));
}

#[test]
fn a_request_without_a_primary_pauses_and_ends() {
    let mut edge = Edge::new("z2");
    let stock = GroupName::from("stock");
    let mut attempt = Attempt::default();
    let (mut now, mut hops, mut pauses) = (at(0), 0, 0);
    loop {
        match edge.choose(Access::Write, SEEN, &mut attempt, now) {
            Route::Send(_) => hops += 1,
            Route::Wait(until) => {
                assert!(until > now);
                now = until;
                pauses += 1;
            }
            Route::GiveUp(_) => break,
        }
        edge.table.redirected(&stock, &mut attempt, None, Term(2));
    }
    let settings = RouteSettings::default();
    assert_eq!(hops, settings.hop_limit);
    assert_eq!(pauses, settings.hop_limit - settings.hops_without_pause);
}

fn status(role: Role, term: u64, log: (u64, u64)) -> MemberStatus {
    let (log_term, offset) = (Term(log.0), log.1);
    let log = LogPosition {
        term: log_term,
        offset,
    };
    MemberStatus {
        role,
        term: Term(term),
        log,
    }
}

/// The request arrives at 100 ms at the home of "b"; "a" leads.
#[rstest]
#[case::write(Access::Write, SEEN, 5, (1, 20), 100, ServeDecision::Redirect { primary: Some(name("a")), term: Term(1) })]
#[case::any(Access::Read, Freshness::Any, 5, (1, 0), 100, ServeDecision::Serve)]
#[case::current(Access::Read, Freshness::Current, 5, (1, 20), 100, ServeDecision::Redirect { primary: Some(name("a")), term: Term(1) })]
#[case::fresh(Access::Read, SEEN, 50, (1, 10), 100, ServeDecision::Serve)]
#[case::longer_log_of_earlier_term(Access::Read, SEEN, 50, (0, 90), 100, ServeDecision::AskStatus)]
#[case::status_older_than_connection(Access::Read, SEEN, 5, (1, 20), 100, ServeDecision::AskStatus)]
#[case::behind_as_of_long_ago(Access::Read, SEEN, 50, (1, 9), 100, ServeDecision::AskStatus)]
#[case::behind(Access::Read, SEEN, 100, (1, 9), 100, ServeDecision::WaitUntil(at(101)))]
#[case::behind_and_a_status_is_due(Access::Read, SEEN, 100, (1, 9), 101, ServeDecision::AskStatus)]
#[case::behind_too_long(Access::Read, SEEN, 109, (1, 9), 110, ServeDecision::Redirect { primary: Some(name("a")), term: Term(1) })]
fn a_home_of_a_replica_decides(
    #[case] access: Access,
    #[case] freshness: Freshness,
    #[case] status_at: u64,
    #[case] log: (u64, u64),
    #[case] now: u64,
    #[case] expected: ServeDecision,
) {
    let mut view = GroupView::new(["a", "b", "c"].map(name));
    view.observe(at(4), &name("a"), status(Role::Primary, 1, (1, 20)), at(4));
    view.observe(
        at(status_at),
        &name("b"),
        status(Role::Replica, 1, log),
        at(status_at),
    );
    let request = ServeRequest {
        database: &name("b"),
        access,
        freshness,
        arrived_at: at(100),
        connection_opened_at: Some(at(20)),
    };
    let decision = decide(&view, request, ServeSettings::default(), at(now));
    assert_eq!(decision, expected);
}

#[rstest]
#[case::write(Access::Write, SEEN, ServeDecision::Serve)]
#[case::current(Access::Read, Freshness::Current, ServeDecision::ServeConfirmed { term: Term(2) })]
#[case::position_that_was_lost(Access::Read, SEEN, ServeDecision::ServeConfirmed { term: Term(2) })]
fn a_home_of_a_primary_decides(
    #[case] access: Access,
    #[case] freshness: Freshness,
    #[case] expected: ServeDecision,
) {
    let mut view = GroupView::new(["a", "b", "c"].map(name));
    view.observe(at(50), &name("a"), status(Role::Primary, 2, (2, 8)), at(50));
    let request = ServeRequest {
        database: &name("a"),
        access,
        freshness,
        arrived_at: at(60),
        connection_opened_at: Some(at(20)),
    };
    let settings = ServeSettings {
        replica_wait: Duration::ZERO,
        ..ServeSettings::default()
    };
    assert_eq!(decide(&view, request, settings, at(60)), expected);
}

#[test]
fn a_write_that_ran_identifies_the_primary_and_reads_avoid_it() {
    let mut edge = Edge::new("z1");
    edge.table = RouteTable::new(RouteSettings::default());
    assert_eq!(edge.first(Access::Read, SEEN), Route::Send(name("a")));
    edge.table
        .served_write(&GroupName::from("stock"), &name("a"));
    for _ in 0..4 {
        assert_ne!(edge.first(Access::Read, SEEN), Route::Send(name("a")));
    }
    assert_eq!(
        edge.first(Access::Write, Freshness::Current),
        Route::Send(name("a"))
    );
}

/// An edge for which the replicas `behind` lacked what a read needs. The primary is `a`; the replica `b` is in the
/// edge's own zone and preferred.
fn edge_with_replicas_behind(behind: &[&str], attempt: &mut Attempt) -> Edge {
    let mut edge = Edge::new("z2");
    for replica in behind {
        edge.behind(attempt, replica, at(0));
    }
    edge
}

#[rstest]
#[case::none(&[], "b")]
#[case::the_nearest(&["b"], "c")]
#[case::another(&["c"], "b")]
#[case::all(&["b", "c"], "b")]
fn replicas_that_are_behind_come_last_for_a_while(#[case] behind: &[&str], #[case] first: &str) {
    let mut edge = edge_with_replicas_behind(behind, &mut Attempt::default());
    assert_eq!(edge.first(Access::Read, SEEN), Route::Send(name(first)));
    let later = at(0) + RouteSettings::default().behind_for;
    let again = edge.choose(Access::Read, SEEN, &mut Attempt::default(), later);
    assert_eq!(again, Route::Send(name("b")));
}

#[rstest]
#[case::one(&["b"], "c")]
#[case::both(&["b", "c"], "a")]
fn a_read_continues_at_a_replica_that_may_be_fresh(#[case] behind: &[&str], #[case] next: &str) {
    let mut attempt = Attempt::default();
    let mut edge = edge_with_replicas_behind(behind, &mut attempt);
    let route = edge.choose(Access::Read, SEEN, &mut attempt, at(0));
    assert_eq!(route, Route::Send(name(next)));
}
