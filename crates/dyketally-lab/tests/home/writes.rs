//! Writes: confirmed, refused, sent on, or of unknown outcome.

use std::time::Duration;

use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally_protocol::{Completion, ExecuteRequest, TransactionStatus};
use dyketally_proxy::home::{AddressRoutes, Home, HomeOptions};
use rstest::rstest;

use crate::relay::{Mode, Relay};
use crate::support::{Fixture, eventually, insert};

#[tokio::test]
async fn confirms_a_write_with_its_position() {
    let fixture = Fixture::start().await;
    let answer = fixture
        .run(fixture.write(fixture.primary, &insert("a")))
        .await;
    assert_eq!(answer.tags(), "C");
    assert_eq!(answer.transaction(), TransactionStatus::Idle);
    let state = fixture.state(fixture.primary).await;
    assert_eq!(answer.seen().offset, state.log_offset);
    assert_eq!(answer.seen().term.0, state.term);
}

#[rstest]
#[case::duplicate("INSERT INTO orders (key, value) VALUES ('a', '1')", "23505")]
#[case::syntax("INSERT INTO", "42601")]
#[tokio::test]
async fn passes_on_the_databases_own_errors(#[case] text: &str, #[case] sqlstate: &str) {
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    assert!(
        fixture
            .run(fixture.write(primary, &insert("a")))
            .await
            .is_done()
    );
    let answer = fixture.run(fixture.write(primary, text)).await;
    assert!(answer.is_done(), "{answer:?}");
    assert_eq!(answer.sqlstate().as_deref(), Some(sqlstate));
}

#[tokio::test]
async fn sends_a_write_on_to_the_primary() {
    let fixture = Fixture::start().await;
    let replica = fixture.replicas()[0];
    let answer = fixture.run(fixture.write(replica, &insert("a"))).await;
    let Completion::Redirect { primary, .. } = answer.completion else {
        panic!("{answer:?}");
    };
    assert_eq!(primary, Some(fixture.name(fixture.primary)));
}

#[tokio::test]
async fn withholds_the_acknowledgement_of_a_deposed_primary() {
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    assert!(
        fixture
            .run(fixture.write(primary, &insert("a")))
            .await
            .is_done()
    );
    let control = fixture.databases[primary].control();
    let others = fixture
        .replicas()
        .iter()
        .map(|other| fixture.name(*other))
        .collect();
    control.set_stay_leading(true).await.unwrap();
    control.cut(others).await.unwrap();
    let late = ExecuteRequest {
        time_left: Duration::from_millis(500),
        ..fixture.write(primary, &insert("b"))
    };
    let answer = fixture.run(late).await;
    assert_eq!(
        answer.completion,
        Completion::Unknown {
            reason: UnknownReason::NotConfirmed
        }
    );
    assert_eq!(answer.tags(), "");
}

#[tokio::test]
async fn sends_writes_on_after_an_election() {
    let fixture = Fixture::start().await;
    let old = fixture.primary;
    fixture.cut_off_primary().await;
    let new = fixture.another_primary().await;
    let redirected = fixture.run(fixture.write(old, &insert("a"))).await;
    let known = matches!(
        &redirected.completion,
        Completion::Redirect { primary, .. } if primary.as_ref() == Some(&fixture.name(new))
    );
    // Sent to the old primary before its home heard of the election: then never acknowledged.
    let unconfirmed = matches!(redirected.completion, Completion::Unknown { .. });
    assert!(known || unconfirmed, "{redirected:?}");
    let answer = fixture.run(fixture.write(new, &insert("b"))).await;
    assert!(answer.is_done(), "{answer:?}");
}

#[tokio::test]
async fn waits_for_a_primary_only_until_the_deadline() {
    let mut fixture = Fixture::start().await;
    let kept = fixture.replicas()[0];
    let request = ExecuteRequest {
        time_left: Duration::from_millis(300),
        ..fixture.write(kept, &insert("a"))
    };
    // Dropping a database cuts its connections off.
    let kept_database = fixture.databases.remove(kept);
    fixture.databases.clear();
    let home = &fixture.homes[kept];
    eventually("the primary is missed", || async {
        home.status().primary.is_none().then_some(())
    })
    .await;
    let answer = fixture.submit_to(kept, request).answer().await;
    drop(kept_database);
    let Completion::NotRun { reason, .. } = answer.completion else {
        panic!("{answer:?}");
    };
    assert_eq!(reason, NotRunReason::NoPrimary);
}

#[tokio::test]
async fn reports_unknown_when_the_connection_breaks_behind_the_statement() {
    let mut fixture = Fixture::start().await;
    let primary = fixture.primary;
    let pending = fixture.submit(fixture.write(primary, "SELECT pg_sleep(20)"));
    fixture.wait_until_busy().await;
    drop(fixture.databases.remove(primary));
    let answer = pending.answer().await;
    assert_eq!(
        answer.completion,
        Completion::Unknown {
            reason: UnknownReason::ConnectionLost
        }
    );
}

#[tokio::test]
async fn reports_unknown_at_the_deadline() {
    let fixture = Fixture::start().await;
    let slow = ExecuteRequest {
        time_left: Duration::from_millis(100),
        ..fixture.write(fixture.primary, "SELECT pg_sleep(20)")
    };
    let answer = fixture.run(slow).await;
    assert_eq!(
        answer.completion,
        Completion::Unknown {
            reason: UnknownReason::DeadlinePassed
        }
    );
    // The cancelled statement leaves its slot.
    eventually("the slot is free", || async {
        let state = fixture.state(fixture.primary).await;
        (state.busy_slots == 0).then_some(())
    })
    .await;
}

#[tokio::test]
async fn cancels_a_running_statement() {
    let fixture = Fixture::start().await;
    let pending = fixture.submit(fixture.write(fixture.primary, "SELECT pg_sleep(20)"));
    eventually("the statement runs", || async {
        let state = fixture.state(fixture.primary).await;
        (state.busy_slots > 0).then_some(())
    })
    .await;
    pending.cancelled.cancel();
    let answer = pending.answer().await;
    assert_eq!(answer.sqlstate().as_deref(), Some("57014"), "{answer:?}");
}

#[tokio::test]
async fn moves_on_from_a_primary_that_hangs() {
    let fixture = Fixture::start().await;
    let old = fixture.primary;
    let address = fixture.databases[old].address();
    let relay = Relay::start(address, Mode::Pass).await;
    let home = Home::start(
        fixture.name(old),
        fixture.policies.subscribe(),
        AddressRoutes::from_iter([(address, relay.address)]),
        HomeOptions::default(),
    );
    let first = Fixture::submit_at(&home, fixture.write(old, &insert("a")));
    assert!(first.answer().await.is_done());
    relay.set(Mode::Stall);
    let hanging = Fixture::submit_at(&home, fixture.write(old, &insert("b")));
    let control = fixture.databases[old].control();
    let others = fixture.replicas();
    control.set_stay_leading(true).await.unwrap();
    control
        .cut(others.iter().map(|other| fixture.name(*other)).collect())
        .await
        .unwrap();
    let answer = hanging.answer().await;
    let unknown = matches!(answer.completion, Completion::Unknown { .. });
    assert!(unknown, "{answer:?}");
    let waiting = Fixture::submit_at(&home, fixture.write(old, &insert("c")));
    let answer = waiting.answer().await;
    let Completion::Redirect { primary, .. } = answer.completion else {
        panic!("{answer:?}");
    };
    assert_ne!(primary, Some(fixture.name(old)));
}
