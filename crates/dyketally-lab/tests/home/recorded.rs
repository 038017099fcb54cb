//! Recorded statements: what became of them is found out in the ledger.

use dyketally::policy::Repeat;
use dyketally_lab::database::DatabaseSettings;
use dyketally_protocol::{Completion, ExecuteRequest};
use dyketally_proxy::home::{AddressRoutes, Home, HomeOptions};

use crate::relay::{Mode, Relay};
use crate::support::{Fixture, Setup, insert};

fn recorded(fixture: &Fixture, text: &str) -> ExecuteRequest {
    ExecuteRequest {
        repeat: Repeat::Recorded,
        ..fixture.write(fixture.primary, text)
    }
}

async fn rows(fixture: &Fixture, member: usize, table: &str) -> usize {
    let database = fixture
        .databases
        .iter()
        .find(|database| database.settings.name == fixture.name(member));
    let rows = database.expect("running").control().table(table).await;
    rows.expect("control address").len()
}

#[tokio::test]
async fn records_a_statement_with_its_reply() {
    let fixture = Fixture::start().await;
    let answer = fixture.run(recorded(&fixture, &insert("a"))).await;
    assert!(answer.is_done(), "{answer:?}");
    assert_eq!(answer.tags(), "C");
    assert!(answer.seen().offset > 0);
    assert_eq!(rows(&fixture, fixture.primary, "orders").await, 1);
    assert_eq!(rows(&fixture, fixture.primary, "ledger").await, 1);
}

#[tokio::test]
async fn a_failed_statement_leaves_no_entry() {
    let fixture = Fixture::start().await;
    assert!(
        fixture
            .run(recorded(&fixture, &insert("a")))
            .await
            .is_done()
    );
    let answer = fixture.run(recorded(&fixture, &insert("a"))).await;
    assert!(answer.is_done(), "{answer:?}");
    assert_eq!(answer.sqlstate().as_deref(), Some("23505"));
    assert_eq!(rows(&fixture, fixture.primary, "ledger").await, 1);
}

#[tokio::test]
async fn sends_a_recorded_statement_on_from_a_replica() {
    let fixture = Fixture::start().await;
    let replica = fixture.replicas()[0];
    let request = ExecuteRequest {
        repeat: Repeat::Recorded,
        ..fixture.write(replica, &insert("a"))
    };
    let answer = fixture.run(request).await;
    assert!(matches!(answer.completion, Completion::Redirect { .. }));
}

#[tokio::test]
async fn proves_that_an_interrupted_statement_was_not_run() {
    let mut fixture = Fixture::start().await;
    let primary = fixture.primary;
    let pending = fixture.submit(recorded(&fixture, "SELECT pg_sleep(20)"));
    fixture.wait_until_busy().await;
    drop(fixture.databases.remove(primary));
    let answer = pending.answer().await;
    assert!(
        matches!(answer.completion, Completion::NotRun { .. }),
        "{answer:?}"
    );
    // The key that bars the statement.
    let new = fixture.another_primary().await;
    assert_eq!(rows(&fixture, new, "ledger").await, 1);
}

#[tokio::test]
async fn proves_that_a_statement_of_a_deposed_primary_was_not_run() {
    let fixture = Fixture::start().await;
    let primary = fixture.primary;
    let control = fixture.databases[primary].control();
    let others = fixture.replicas();
    let others = others.iter().map(|other| fixture.name(*other)).collect();
    control.set_stay_leading(true).await.unwrap();
    control.cut(others).await.unwrap();
    let answer = fixture.run(recorded(&fixture, &insert("a"))).await;
    assert!(
        matches!(
            answer.completion,
            Completion::NotRun { .. } | Completion::Redirect { .. }
        ),
        "{answer:?}"
    );
    let new = fixture.another_primary().await;
    assert_eq!(rows(&fixture, new, "orders").await, 0);
}

#[tokio::test]
async fn answers_from_the_ledger_when_the_reply_was_lost() {
    let setup = Setup {
        database: DatabaseSettings {
            slots: 1,
            ..Setup::default().database
        },
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup).await;
    let primary = fixture.primary;
    let address = fixture.databases[primary].address();
    let relay = Relay::start(address, Mode::LoseCommit).await;
    let home = Home::start(
        fixture.name(primary),
        fixture.policies.subscribe(),
        AddressRoutes::from_iter([(address, relay.address)]),
        HomeOptions::default(),
    );
    let pending = Fixture::submit_at(&home, recorded(&fixture, &insert("a")));
    let answer = pending.answer().await;
    assert!(answer.is_done(), "{answer:?}");
    assert_eq!(answer.tags(), "C");
    assert_eq!(rows(&fixture, primary, "orders").await, 1);
    assert_eq!(rows(&fixture, primary, "ledger").await, 1);
    let resolved = home.counters().resolved_done.get();
    assert_eq!(resolved, 1, "the reply was lost");
}
