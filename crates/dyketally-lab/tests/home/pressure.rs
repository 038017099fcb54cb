//! Back pressure: full queues, connection limits, slots, drains.

use std::time::Duration;

use dyketally::outcome::NotRunReason;
use dyketally_lab::database::DatabaseSettings;
use dyketally_protocol::{Completion, Freshness};
use dyketally_proxy::home::HomeOptions;
use tokio::time::Instant;

use crate::support::{Fixture, LONG, Setup, eventually, insert, select};

fn one_slot() -> Setup {
    let setup = Setup::default();
    Setup {
        database: DatabaseSettings {
            slots: 1,
            ..setup.database
        },
        queue_limit: 2,
        ..setup
    }
}

fn reason(completion: Completion) -> NotRunReason {
    match completion {
        Completion::NotRun {
            reason,
            retry_after: Some(retry_after),
        } if !retry_after.is_zero() => reason,
        other => panic!("no refusal with a time to come back: {other:?}"),
    }
}

#[tokio::test]
async fn turns_statements_away_when_the_queue_is_full() {
    let fixture = Fixture::start_with(one_slot()).await;
    let primary = fixture.primary;
    let home = &fixture.homes[primary];
    let running = fixture.submit(fixture.write(primary, "SELECT pg_sleep(1)"));
    eventually("the slot is taken", || async {
        (home.status().queue.running == 1).then_some(())
    })
    .await;
    let first = fixture.submit(fixture.write(primary, &insert("a")));
    let second = fixture.submit(fixture.write(primary, &insert("b")));
    eventually("both wait", || async {
        (home.status().queue.queued == 2).then_some(())
    })
    .await;
    let refused = fixture.run(fixture.write(primary, &insert("c"))).await;
    assert_eq!(reason(refused.completion), NotRunReason::QueueFull);
    for pending in [running, first, second] {
        assert!(pending.answer().await.is_done());
    }
}

#[tokio::test]
async fn gives_up_a_queued_statement_at_its_deadline() {
    let fixture = Fixture::start_with(one_slot()).await;
    let primary = fixture.primary;
    let running = fixture.submit(fixture.write(primary, "SELECT pg_sleep(1)"));
    eventually("the slot is taken", || async {
        let status = fixture.homes[primary].status();
        (status.queue.running == 1).then_some(())
    })
    .await;
    let mut waiting = fixture.write(primary, &insert("a"));
    waiting.time_left = Duration::from_millis(50);
    let answer = fixture.run(waiting).await;
    assert_eq!(reason(answer.completion), NotRunReason::DeadlinePassed);
    assert!(running.answer().await.is_done());
    let rows = fixture.databases[primary].control().table("orders").await;
    assert!(rows.unwrap().is_empty());
}

#[tokio::test]
async fn stays_within_the_databases_slots_and_connections() {
    const STATEMENTS: usize = 60;
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    let submitted = (0..STATEMENTS).map(|number| {
        let text = insert(&number.to_string());
        fixture.submit(fixture.write(primary, &text))
    });
    let submitted: Vec<_> = submitted.collect();
    for pending in submitted {
        assert!(pending.answer().await.is_done());
    }
    let state = fixture.state(primary).await;
    assert_eq!(state.refused_connections, 0);
    assert!(state.most_busy_slots <= 5, "{state:?}");
    assert!(state.most_connections <= 40, "{state:?}");
}

#[tokio::test]
async fn two_homes_of_one_database_share_its_connections() {
    const STATEMENTS: usize = 40;
    let setup = Setup::default();
    let setup = Setup {
        database: DatabaseSettings {
            connection_limit: 9,
            ..setup.database
        },
        ..setup
    };
    let fixture = Fixture::start_with(setup).await;
    let other = fixture.second_home(fixture.primary);
    let primary = fixture.primary;
    let submitted = (0..STATEMENTS).map(|number| {
        let request = fixture.write(primary, &insert(&number.to_string()));
        match number % 2 {
            0 => fixture.submit(request),
            _ => Fixture::submit_at(&other, request),
        }
    });
    let submitted: Vec<_> = submitted.collect();
    for pending in submitted {
        let answer = pending.answer().await;
        assert!(answer.is_done(), "{answer:?}");
    }
    let state = fixture.state(primary).await;
    assert!(state.most_connections <= 9, "{state:?}");
}

#[tokio::test]
async fn a_leaving_database_gets_no_new_work() {
    let fixture = Fixture::start().await;
    let replica = fixture.replicas()[0];
    let home = &fixture.homes[replica];
    home.set_database_leaving(true);
    let refused = fixture
        .run(fixture.read(replica, Freshness::Any, &select("a")))
        .await;
    assert_eq!(reason(refused.completion), NotRunReason::Leaving);
    home.set_database_leaving(false);
    let served = fixture
        .run(fixture.read(replica, Freshness::Any, &select("a")))
        .await;
    assert!(served.is_done());
}

#[tokio::test]
async fn a_drain_ends_transactions_but_takes_no_new_work() {
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    let home = fixture.homes[primary].clone();
    let begin = fixture.write(primary, "BEGIN");
    assert!(fixture.run(begin.clone()).await.is_done());
    let drained = tokio::spawn({
        let home = home.clone();
        async move { home.drain(Instant::now() + LONG).await }
    });
    eventually("the home drains", || async {
        home.status().leaving.then_some(())
    })
    .await;
    let refused = fixture.run(fixture.write(primary, &insert("b"))).await;
    assert_eq!(reason(refused.completion), NotRunReason::Leaving);
    assert!(fixture.run_next(&begin, 0, &insert("a")).await.is_done());
    assert!(fixture.run_next(&begin, 0, "COMMIT").await.is_done());
    assert_eq!(drained.await.unwrap(), 0);
}

#[tokio::test]
async fn writes_move_on_from_a_primary_that_leaves() {
    let fixture = Fixture::start().await;
    let old = fixture.primary;
    let home = &fixture.homes[old];
    assert!(
        fixture
            .run(fixture.write(old, &insert("a")))
            .await
            .is_done()
    );
    home.set_database_leaving(true);
    fixture.databases[old].control().leave().await.unwrap();
    let answer = fixture.run(fixture.write(old, &insert("b"))).await;
    let Completion::Redirect {
        primary: Some(new), ..
    } = answer.completion
    else {
        panic!("{answer:?}");
    };
    let new = (0..3).find(|member| fixture.name(*member) == new).unwrap();
    assert_ne!(new, old);
    let answer = fixture.run(fixture.write(new, &insert("b"))).await;
    assert!(answer.is_done(), "{answer:?}");
}

#[tokio::test]
async fn an_unused_home_gives_up_its_connections_until_the_next_request() {
    let setup = Setup {
        options: HomeOptions {
            standby_after: Duration::from_millis(1),
            ..HomeOptions::default()
        },
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup).await;
    let primary = fixture.primary;
    for key in ["a", "b"] {
        let answer = fixture.run(fixture.write(primary, &insert(key))).await;
        assert!(answer.is_done(), "{answer:?}");
        eventually("no connection is left", || async {
            let standby = fixture.homes.iter().all(|home| home.status().standby);
            let state = fixture.state(primary).await;
            (standby && state.connections == 0).then_some(())
        })
        .await;
    }
}
