//! Reads: at replicas that are fresh enough, else at the confirmed primary.

use std::time::Duration;

use dyketally::group::LogPosition;
use dyketally::outcome::NotRunReason;
use dyketally_protocol::{Completion, ExecuteRequest, Freshness};
use dyketally_proxy::home::{AddressRoutes, Home, HomeOptions};

use crate::relay::{Mode, Relay};
use crate::support::{Fixture, Setup, insert, select};

const REPLICATION_LAG_MS: u64 = 60_000;

#[tokio::test]
async fn reads_current_data_from_the_confirmed_primary() {
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    let written = fixture.run(fixture.write(primary, &insert("a"))).await;
    let read = fixture.read(primary, Freshness::Current, &select("a"));
    let answer = fixture.run(read).await;
    assert_eq!(answer.values(), ["1"]);
    assert!(answer.seen() >= written.seen());
}

#[tokio::test]
async fn reads_own_writes_from_a_replica() {
    let fixture = Fixture::start().await;
    let written = fixture
        .run(fixture.write(fixture.primary, &insert("a")))
        .await;
    let freshness = Freshness::AtLeast(written.seen());
    let mut served = 0;
    for replica in fixture.replicas() {
        let answer = fixture
            .run(fixture.read(replica, freshness, &select("a")))
            .await;
        match answer.completion {
            Completion::Done { .. } => {
                assert_eq!(answer.values(), ["1"]);
                served += 1;
            }
            // The slower replica may be behind for longer than a read waits.
            Completion::Redirect { .. } => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(
        served >= 1,
        "the replica that confirmed the write serves it"
    );
}

#[tokio::test]
async fn sends_a_read_on_from_a_lagging_replica() {
    let fixture = Fixture::start().await;
    let lagging = fixture.replicas()[0];
    let control = fixture.databases[lagging].control();
    control
        .set_replication_lag(REPLICATION_LAG_MS)
        .await
        .unwrap();
    let written = fixture
        .run(fixture.write(fixture.primary, &insert("a")))
        .await;
    let freshness = Freshness::AtLeast(written.seen());
    let answer = fixture
        .run(fixture.read(lagging, freshness, &select("a")))
        .await;
    let Completion::Redirect { primary, .. } = answer.completion else {
        panic!("{answer:?}");
    };
    assert_eq!(primary, Some(fixture.name(fixture.primary)));
    let any = fixture
        .run(fixture.read(lagging, Freshness::Any, &select("a")))
        .await;
    assert!(any.is_done());
}

#[tokio::test]
async fn sends_a_current_read_on_from_a_replica() {
    let fixture = Fixture::start().await;
    let replica = fixture.replicas()[0];
    let answer = fixture
        .run(fixture.read(replica, Freshness::Current, &select("a")))
        .await;
    assert!(matches!(
        answer.completion,
        Completion::Redirect {
            primary: Some(_),
            ..
        }
    ));
}

#[tokio::test]
async fn withholds_a_current_read_of_a_cut_off_primary() {
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    fixture.cut_off_primary().await;
    fixture.another_primary().await;
    let read = ExecuteRequest {
        time_left: Duration::from_secs(2),
        ..fixture.read(primary, Freshness::Current, &select("a"))
    };
    let answer = fixture.run(read).await;
    assert!(!answer.is_done(), "{answer:?}");
    assert_eq!(answer.tags(), "");
}

#[tokio::test]
async fn does_not_wait_for_a_database_that_is_gone() {
    let mut fixture = Fixture::start().await;
    let replica = fixture.replicas()[0];
    let read = fixture.read(
        replica,
        Freshness::AtLeast(LogPosition::default()),
        &select("a"),
    );
    drop(fixture.databases.remove(replica));
    let pending = fixture.submit_to(replica, read);
    let answer = pending.answer().await;
    let Completion::NotRun { reason, .. } = answer.completion else {
        panic!("{answer:?}");
    };
    assert_eq!(reason, NotRunReason::Unreachable);
}

#[tokio::test]
async fn refuses_a_row_that_is_too_long_to_be_passed_on() {
    const TOO_LONG: usize = 5 * 1024 * 1024;
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    let value = "v".repeat(TOO_LONG);
    let text = format!("INSERT INTO parts (key, value) VALUES ('a', '{value}')");
    let written = fixture.run(fixture.write(primary, &text)).await;
    assert!(written.is_done(), "{:?}", written.completion);
    let text = "SELECT value FROM parts WHERE key = 'a'";
    let answer = fixture
        .run(fixture.read(primary, Freshness::Current, text))
        .await;
    assert!(answer.is_done(), "{:?}", answer.completion);
    assert_eq!(answer.sqlstate().as_deref(), Some("54000"));
}

#[tokio::test]
async fn streams_a_reply_that_is_larger_than_the_bound() {
    const ROWS: usize = 3000;
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    let value = "v".repeat(200);
    let rows = (0..ROWS).map(|row| format!("('{row}', '{value}')"));
    let rows: Vec<_> = rows.collect();
    for row in rows {
        let text = format!("INSERT INTO parts (key, value) VALUES {row}");
        assert!(fixture.run(fixture.write(primary, &text)).await.is_done());
    }
    let read = fixture.read(primary, Freshness::Current, "SELECT key, value FROM parts");
    let answer = fixture.run(read).await;
    assert!(answer.is_done());
    assert_eq!(answer.values().len(), ROWS);
}

#[tokio::test]
async fn many_reads_at_once_wait_for_the_same_status() {
    const READS: usize = 300;
    let setup = Setup {
        queue_limit: READS as u32,
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup).await;
    let replica = fixture.replicas()[0];
    let written = fixture
        .run(fixture.write(fixture.primary, &insert("a")))
        .await;
    let freshness = Freshness::AtLeast(written.seen());
    let reads = (0..READS).map(|_| fixture.submit(fixture.read(replica, freshness, &select("a"))));
    let reads: Vec<_> = reads.collect();
    for read in reads {
        let answer = read.answer().await;
        let served = answer.is_done() && answer.values() == ["1"];
        let behind = matches!(answer.completion, Completion::Redirect { .. });
        assert!(served || behind, "{answer:?}");
    }
}

#[tokio::test]
async fn a_read_moves_on_from_a_replica_that_hangs() {
    let fixture = Fixture::start().await;
    let replica = fixture.replicas()[0];
    let address = fixture.databases[replica].address();
    let relay = Relay::start(address, Mode::Pass).await;
    let home = Home::start(
        fixture.name(replica),
        fixture.policies.subscribe(),
        AddressRoutes::from_iter([(address, relay.address)]),
        HomeOptions::default(),
    );
    let read = || fixture.read(replica, Freshness::Any, &select("a"));
    assert!(Fixture::submit_at(&home, read()).answer().await.is_done());
    relay.set(Mode::Stall);
    let answer = Fixture::submit_at(&home, read()).answer().await;
    let Completion::NotRun { reason, .. } = answer.completion else {
        panic!("{answer:?}");
    };
    assert_eq!(reason, NotRunReason::Unreachable);
}
