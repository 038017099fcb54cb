//! What requests report under faults, and whether the change took effect.

use std::time::Duration;

use dyketally_lab::platform::{PlatformSettings, start};
use dyketally_proxy::stores::key_value::KeyRange;
use dyketally_proxy::stores::memory::{FaultPlan, Outage, RateLimit};
use dyketally_proxy::stores::{EtcdGateway, EtcdSettings, KeyValueStore, StoreError};
use rstest::rstest;

use crate::backend::{Backend, Implementation, put, read, swap};

/// What a change reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Report {
    Done,
    NotDone,
    Undetermined,
}

fn report<Reply>(result: &Result<Reply, StoreError>) -> Report {
    match result {
        Ok(_) => Report::Done,
        Err(error) if error.may_have_taken_effect() => Report::Undetermined,
        Err(_) => Report::NotDone,
    }
}

fn outage(outage: Outage) -> FaultPlan {
    FaultPlan {
        outage,
        ..FaultPlan::default()
    }
}

fn lost_replies(lost_replies: u32) -> FaultPlan {
    FaultPlan {
        lost_replies,
        ..FaultPlan::default()
    }
}

fn exhausted() -> FaultPlan {
    FaultPlan {
        rate_limit: Some(RateLimit {
            requests_per_second: 1,
            burst: 0,
        }),
        ..FaultPlan::default()
    }
}

fn slow() -> FaultPlan {
    FaultPlan {
        delay_milliseconds: 50,
        ..FaultPlan::default()
    }
}

#[rstest]
#[case::none(FaultPlan::default(), &[Report::Done], true)]
#[case::slow(slow(), &[Report::Done], true)]
#[case::lost_reply(lost_replies(1), &[Report::Undetermined], true)]
#[case::rate_limit(exhausted(), &[Report::NotDone], false)]
#[case::refused(outage(Outage::Refuse), &[Report::NotDone, Report::Undetermined], false)]
#[case::hanging(outage(Outage::Hang), &[Report::Undetermined], false)]
#[tokio::test]
async fn a_change_reports_no_more_than_is_known(
    #[case] faults: FaultPlan,
    #[case] allowed: &[Report],
    #[case] takes_effect: bool,
    #[values(false, true)] by_transaction: bool,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    backend.set_faults(faults).await;
    let reported = match by_transaction {
        true => report(&swap(&*store, "k", None, "v").await),
        false => report(&store.put(put("k", "v")).await),
    };
    assert!(allowed.contains(&reported), "{reported:?}");
    assert_eq!(backend.true_value("k").is_some(), takes_effect);
    backend.set_faults(FaultPlan::default()).await;
    let reply = read(&*store, KeyRange::key("k")).await.expect("healed");
    if reported != Report::Undetermined || takes_effect {
        assert_eq!(reply.entries.len(), usize::from(takes_effect));
    }
}

#[rstest]
#[case::lost_reply(lost_replies(1), Ok(()))]
#[case::refused(outage(Outage::Refuse), Err("unavailable"))]
#[case::hanging(outage(Outage::Hang), Err("unavailable"))]
#[case::rate_limit(exhausted(), Err("rate limited"))]
#[tokio::test]
async fn a_read_is_never_undetermined(
    #[case] faults: FaultPlan,
    #[case] expected: Result<(), &str>,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    backend.set_faults(faults).await;
    let result = read(&*store, KeyRange::key("k")).await;
    let reported = result.map(|_| ()).map_err(|error| match error {
        StoreError::Unavailable { .. } => "unavailable",
        StoreError::RateLimited { .. } => "rate limited",
        other => panic!("{other}"),
    });
    assert_eq!(reported, expected);
}

#[rstest]
#[tokio::test]
async fn the_rate_limit_lets_a_burst_through_and_says_how_long_to_wait(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let rate_limit = Some(RateLimit {
        requests_per_second: 1,
        burst: 2,
    });
    backend
        .set_faults(FaultPlan {
            rate_limit,
            ..FaultPlan::default()
        })
        .await;
    // A busy machine may earn further tokens between requests, so go on until one is refused.
    let mut passed = 0;
    let refused = loop {
        match store.put(put("k", "v")).await {
            Ok(_) => passed += 1,
            Err(error) => break error,
        }
        assert!(passed < 1000, "no request was refused");
    };
    assert!(passed >= 2, "{passed} requests passed");
    let StoreError::RateLimited { retry_after } = refused else {
        panic!("{refused}");
    };
    assert!(retry_after > Duration::ZERO);
    assert!(retry_after <= Duration::from_secs(1));
}

#[rstest]
#[tokio::test]
async fn only_the_announced_number_of_replies_is_lost(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    backend.set_faults(lost_replies(2)).await;
    let mut reports = Vec::new();
    for value in ["1", "2", "3"] {
        reports.push(report(&store.put(put("k", value)).await));
    }
    assert_eq!(
        reports,
        [Report::Undetermined, Report::Undetermined, Report::Done]
    );
}

#[tokio::test]
async fn a_stopped_service_surely_changed_nothing() {
    let platform = start(PlatformSettings::default())
        .await
        .expect("free ports");
    let url = platform.addresses().gateway_url();
    platform.stop().await;
    let store = EtcdGateway::new(EtcdSettings::new(url)).expect("an HTTP client");
    let error = store.put(put("k", "v")).await.expect_err("nothing listens");
    assert!(matches!(error, StoreError::Unavailable { .. }), "{error}");
}

#[tokio::test]
async fn the_next_endpoint_is_tried_after_one_that_fails() {
    let stopped = start(PlatformSettings::default())
        .await
        .expect("free ports");
    let running = start(PlatformSettings::default())
        .await
        .expect("free ports");
    let endpoints = vec![
        stopped.addresses().gateway_url(),
        running.addresses().gateway_url(),
    ];
    stopped.stop().await;
    let settings = EtcdSettings {
        endpoints,
        ..EtcdSettings::new("")
    };
    let store = EtcdGateway::new(settings).expect("an HTTP client");
    store
        .put(put("k", "v"))
        .await
        .expect_err("the first endpoint is stopped");
    store
        .put(put("k", "v"))
        .await
        .expect("the second endpoint runs");
}

#[tokio::test]
async fn an_address_that_is_no_gateway_is_named_as_such() {
    let platform = start(PlatformSettings::default())
        .await
        .expect("free ports");
    let settings = EtcdSettings::new(platform.addresses().control_url());
    let store = EtcdGateway::new(settings).expect("an HTTP client");
    let error = store.put(put("k", "v")).await.expect_err("no gateway");
    assert!(matches!(error, StoreError::Rejected { .. }), "{error}");
}

#[rstest]
#[case(StoreError::Unavailable { reason: "r".into() }, "try again")]
#[case(StoreError::RateLimited { retry_after: Duration::from_millis(7) }, "after 7 ms")]
#[case(StoreError::Undetermined { reason: "r".into() }, "read the key back")]
#[case(StoreError::Compacted, "read the current keys")]
#[case(StoreError::Rejected { reason: "r".into() }, "check that")]
#[case(StoreError::Malformed { reason: "r".into() }, "check that")]
fn each_error_names_its_remedy(#[case] error: StoreError, #[case] remedy: &str) {
    assert!(error.to_string().contains(remedy), "{error}");
}
