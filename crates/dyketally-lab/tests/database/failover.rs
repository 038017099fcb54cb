//! Elections, lag, cuts and truncation in a group of three.

use dyketally::identifiers::DatabaseName;
use dyketally_lab::database::{
    CutRequest, DatabaseSettings, DatabaseState, RunningDatabase, start, start_group_of_three,
};
use rstest::rstest;
use tokio_postgres::Client;
use tokio_postgres::error::SqlState;

use crate::support::{
    code, connect, eventually, fast_settings, status, try_connect, wait_for_state,
};

const ELECTION_TIMEOUT_MS: u64 = 150;

struct Group {
    members: Vec<RunningDatabase>,
}

impl Group {
    async fn start() -> Self {
        let template = DatabaseSettings {
            election_timeout_ms: ELECTION_TIMEOUT_MS,
            ..fast_settings()
        };
        let members = start_group_of_three("test", &template).await;
        let group = Self {
            members: members.expect("free ports"),
        };
        group.settle().await;
        group
    }

    async fn states(&self) -> Vec<DatabaseState> {
        let mut states = Vec::new();
        for member in &self.members {
            states.push(member.control().state().await.expect("state"));
        }
        states
    }

    /// Waits for one primary and equal logs; yields the primary's place among the members.
    async fn settle(&self) -> usize {
        eventually("one primary and equal logs", || async {
            let states = self.states().await;
            let first = &states[0];
            let equal = states.iter().all(|state| {
                state.term == first.term
                    && state.log_term == first.term
                    && state.log_offset == first.log_offset
            });
            let primaries = states.iter().filter(|state| state.is_primary()).count();
            let place = states.iter().position(DatabaseState::is_primary);
            place.filter(|_| equal && primaries == 1)
        })
        .await
    }

    /// Waits for a primary in a term above `term`; yields its place.
    async fn primary_above(&self, term: u64) -> usize {
        eventually("a primary in a higher term", || async {
            let states = self.states().await;
            let mut states = states.iter();
            states.position(|state| state.is_primary() && state.term > term)
        })
        .await
    }

    fn others(&self, place: usize) -> Vec<DatabaseName> {
        let members = self.members.iter().enumerate();
        let others = members.filter(|(index, _)| *index != place);
        others
            .map(|(_, member)| member.settings.name.clone())
            .collect()
    }

    async fn cut_off(&self, place: usize) {
        let control = self.members[place].control();
        control.cut(self.others(place)).await.expect("cut");
    }
}

async fn put(client: &Client, key: &str) {
    let insert = "INSERT INTO t (key, value) VALUES ($1, 'x')";
    client.execute(insert, &[&key]).await.expect("insert");
}

async fn keys(database: &RunningDatabase) -> Vec<String> {
    let rows = database.control().table("t").await.expect("table");
    rows.into_iter().map(|row| row.key).collect()
}

#[tokio::test]
async fn replicas_copy_the_log_and_refuse_writes() {
    let group = Group::start().await;
    let primary = group.settle().await;
    let client = connect(&group.members[primary]).await;
    put(&client, "a").await;
    put(&client, "b").await;
    let written = status(&client).await;
    assert_eq!(
        (written.role.as_str(), written.log_term),
        ("primary", written.term)
    );
    group.settle().await;
    for (place, member) in group.members.iter().enumerate() {
        assert_eq!(keys(member).await, ["a", "b"]);
        if place != primary {
            let client = connect(member).await;
            let copied = status(&client).await;
            assert_eq!(copied.role, "replica");
            assert_eq!(copied.log_offset, written.log_offset);
            let refused = client.simple_query("DELETE FROM t WHERE key = 'a'").await;
            assert_eq!(code(refused), SqlState::READ_ONLY_SQL_TRANSACTION);
        }
    }
    let logs = group.members[primary].control().log().await.expect("log");
    let offsets = logs.iter().map(|record| record.position.offset);
    assert!(offsets.eq(1..=written.log_offset));
}

#[tokio::test]
async fn after_the_primary_is_killed_another_leads_in_a_higher_term() {
    let mut group = Group::start().await;
    let primary = group.settle().await;
    put(&connect(&group.members[primary]).await, "a").await;
    let before = &group.states().await[primary];
    group.settle().await;
    let killed = group.members.remove(primary);
    let settings = killed.settings.clone();
    drop(killed);

    let new_primary = group.primary_above(before.term).await;
    assert_eq!(keys(&group.members[new_primary]).await, ["a"]);
    put(&connect(&group.members[new_primary]).await, "b").await;

    // Started again with an empty log, the killed member catches up before it serves.
    let joining = DatabaseSettings {
        joining: true,
        ..settings
    };
    let restarted = eventually("the address is free", || async {
        start(joining.clone()).await.ok()
    })
    .await;
    wait_for_state(&restarted, "the end of joining", |state| !state.joining).await;
    group.members.push(restarted);
    group.settle().await;
    assert_eq!(keys(&group.members[2]).await, ["a", "b"]);
}

#[tokio::test]
async fn a_member_that_lost_its_log_neither_votes_nor_serves() {
    let mut group = Group::start().await;
    let primary = group.settle().await;
    put(&connect(&group.members[primary]).await, "a").await;
    group.settle().await;
    let replica = group.members.remove((primary + 1) % 3);
    let joining = DatabaseSettings {
        joining: true,
        ..replica.settings.clone()
    };
    drop(replica);
    let old_primary = group.settle().await;
    drop(group.members.remove(old_primary));

    // One member with the log and one without: no majority of members that may vote.
    let joined = eventually("the address is free", || async {
        start(joining.clone()).await.ok()
    })
    .await;
    let survivor = &group.members[0];
    survivor.control().elect().await.expect("elect");
    let survivor_term = survivor.control().state().await.expect("state").term;
    wait_for_state(&joined, "the term is heard", |state| {
        state.term >= survivor_term
    })
    .await;
    assert!(
        !survivor
            .control()
            .state()
            .await
            .expect("state")
            .is_primary()
    );
    let refused = try_connect(&joined).await;
    assert_eq!(code(refused.map(drop)), SqlState::CANNOT_CONNECT_NOW);
}

#[tokio::test]
async fn a_primary_that_is_cut_off_goes_on_leading_and_loses_its_tail_when_it_returns() {
    let group = Group::start().await;
    let old = group.settle().await;
    let old_client = connect(&group.members[old]).await;
    put(&old_client, "both").await;
    group.settle().await;
    let old_term = status(&old_client).await.term;
    group.cut_off(old).await;
    let new = group.primary_above(old_term).await;
    put(&connect(&group.members[new]).await, "new").await;

    // It still believes that it leads, and answers writes.
    for key in ["lost 1", "lost 2", "lost 3"] {
        put(&old_client, key).await;
    }
    let update = "UPDATE t SET value = 'lost' WHERE key = 'both'";
    old_client.batch_execute(update).await.expect("update");
    old_client
        .batch_execute("DELETE FROM t WHERE key = 'lost 1'")
        .await
        .expect("delete");
    let cut_off = status(&old_client).await;
    assert_eq!((cut_off.role.as_str(), cut_off.term), ("primary", old_term));
    let new_state = &group.states().await[new];
    assert!(cut_off.log_offset > new_state.log_offset);
    assert!(cut_off.log_term < new_state.log_term);

    group.members[old].control().heal().await.expect("heal");
    assert_eq!(group.settle().await, new, "its return deposes nobody");
    for member in &group.members {
        let rows = member.control().table("t").await.expect("table");
        let rows = rows
            .iter()
            .map(|row| (row.key.as_str(), row.value.as_deref()));
        assert!(rows.eq([("both", Some("x")), ("new", Some("x"))]));
    }
    assert_eq!(status(&old_client).await.role, "replica");
}

#[tokio::test]
async fn a_transaction_of_a_deposed_primary_fails_at_its_commit() {
    let group = Group::start().await;
    let old = group.settle().await;
    let client = connect(&group.members[old]).await;
    client
        .batch_execute("BEGIN; INSERT INTO t VALUES ('a', 'x')")
        .await
        .expect("insert");
    let term = status(&client).await.term;
    group.members[old]
        .control()
        .step_down()
        .await
        .expect("step down");
    group.primary_above(term).await;
    let failed = client.batch_execute("COMMIT").await;
    assert_eq!(code(failed), SqlState::T_R_SERIALIZATION_FAILURE);
    let new = group.settle().await;
    assert_eq!(keys(&group.members[new]).await, Vec::<String>::new());
}

#[rstest]
#[case::hears_nothing(true, false)]
#[case::is_not_heard(false, true)]
#[tokio::test]
async fn a_primary_cut_off_one_way_is_replaced_only_when_it_is_not_heard(
    #[case] inbound: bool,
    #[case] outbound: bool,
) {
    let group = Group::start().await;
    let old = group.settle().await;
    let term = group.states().await[old].term;
    let request = CutRequest {
        peers: group.others(old),
        inbound,
        outbound,
    };
    let control = group.members[old].control();
    control.cut_directions(&request).await.expect("cut");
    if outbound {
        // It hears of the higher term, and follows.
        let new = group.primary_above(term).await;
        assert_ne!(new, old);
        wait_for_state(&group.members[old], "a replica", |state| {
            !state.is_primary()
        })
        .await;
    } else {
        // Its heartbeats still arrive.
        put(&connect(&group.members[old]).await, "a").await;
        for place in 0..3 {
            let member = &group.members[place];
            eventually("the copy", || async {
                (keys(member).await == ["a"]).then_some(())
            })
            .await;
        }
        assert_eq!(group.settle().await, old);
    }
}

#[tokio::test]
async fn a_primary_told_to_stay_ignores_higher_terms() {
    let group = Group::start().await;
    let old = group.settle().await;
    let term = group.states().await[old].term;
    let control = group.members[old].control();
    control.set_stay_leading(true).await.expect("stay");
    let other = (old + 1) % 3;
    group.members[other].control().elect().await.expect("elect");
    let new = eventually("a second primary", || async {
        let states = group.states().await;
        let mut places = (0..3).filter(|place| *place != old);
        places.find(|place| states[*place].is_primary() && states[*place].term > term)
    })
    .await;
    put(&connect(&group.members[old]).await, "lost").await;
    put(&connect(&group.members[new]).await, "kept").await;
    let state = control.state().await.expect("state");
    assert_eq!((state.is_primary(), state.term), (true, term));

    control
        .set_stay_leading(false)
        .await
        .expect("stay no longer");
    let settled = group.settle().await;
    assert_eq!(keys(&group.members[settled]).await, ["kept"]);
}

#[tokio::test]
async fn a_lagging_replica_reports_what_it_holds_and_does_not_stand_for_election() {
    const FAR_BEHIND_MS: u64 = 3_600_000;
    let group = Group::start().await;
    let primary = group.settle().await;
    let replica = &group.members[(primary + 1) % 3];
    let before = replica.control().state().await.expect("state");
    replica
        .control()
        .set_replication_lag(FAR_BEHIND_MS)
        .await
        .expect("lag");
    let client = connect(&group.members[primary]).await;
    for key in ["a", "b", "c"] {
        put(&client, key).await;
    }
    let other = &group.members[(primary + 2) % 3];
    wait_for_state(other, "the copy", |state| {
        state.log_offset == before.log_offset + 3
    })
    .await;
    let replica_client = connect(replica).await;
    let lagging = status(&replica_client).await;
    assert_eq!(
        (lagging.term, lagging.log_offset),
        (before.term, before.log_offset)
    );
    assert_eq!(keys(replica).await, Vec::<String>::new());

    replica
        .control()
        .set_replication_lag(0)
        .await
        .expect("no lag");
    assert_eq!(group.settle().await, primary, "the lag caused no election");
    assert_eq!(keys(replica).await, ["a", "b", "c"]);
}

#[tokio::test]
async fn a_replica_that_is_behind_is_not_elected() {
    let group = Group::start().await;
    let primary = group.settle().await;
    let (behind, current) = ((primary + 1) % 3, (primary + 2) % 3);
    group.cut_off(behind).await;
    let client = connect(&group.members[primary]).await;
    put(&client, "a").await;
    let end = status(&client).await.log_offset;
    let copied = |state: &DatabaseState| state.log_offset == end;
    wait_for_state(&group.members[current], "the copy", copied).await;

    let term = status(&client).await.term;
    group.members[behind]
        .control()
        .elect()
        .await
        .expect("elect");
    group.cut_off(primary).await;
    group.members[behind].control().heal().await.expect("heal");
    let new = eventually("a new primary", || async {
        let states = group.states().await;
        let mut places = (0..3).filter(|place| *place != primary);
        places.find(|place| states[*place].is_primary() && states[*place].term > term)
    })
    .await;
    assert_eq!(new, current);
    assert_eq!(keys(&group.members[new]).await, ["a"]);
}

#[tokio::test]
async fn a_leaving_primary_hands_over_without_losing_a_write() {
    let group = Group::start().await;
    let old = group.settle().await;
    let client = connect(&group.members[old]).await;
    put(&client, "a").await;
    let term = status(&client).await.term;
    group.members[old].control().leave().await.expect("leave");
    let new = group.primary_above(term).await;
    assert_ne!(new, old);
    assert_eq!(keys(&group.members[new]).await, ["a"]);
    assert_eq!(group.settle().await, new);
}
