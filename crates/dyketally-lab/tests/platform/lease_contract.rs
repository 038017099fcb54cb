//! Leases and the keys that go with them.

use std::time::Duration;

use dyketally_proxy::stores::StoreError;
use dyketally_proxy::stores::key_value::{KeyRange, PutRequest};
use rstest::rstest;

use crate::backend::{Backend, Implementation, put, read};

const LONG: Duration = Duration::from_secs(3600);

/// How a lease ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Revoked,
    LapsedWhilePaused,
    Unrenewed,
}

#[rstest]
#[case::revoked(End::Revoked)]
#[case::lapsed_while_its_holder_was_paused(End::LapsedWhilePaused)]
#[case::unrenewed(End::Unrenewed)]
#[tokio::test]
async fn a_lease_takes_its_keys_along_and_its_holder_is_told(
    #[case] end: End,
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let time_to_live = match end {
        End::Unrenewed => Duration::from_secs(1),
        End::Revoked | End::LapsedWhilePaused => LONG,
    };
    let lease = store.grant_lease(time_to_live).await.expect("a lease").id;
    let held = PutRequest {
        lease: Some(lease),
        ..put("held", "v")
    };
    store
        .put(held.clone())
        .await
        .expect("a put under the lease");
    store.put(put("free", "v")).await.expect("a put");
    match end {
        End::Revoked => store.revoke_lease(lease).await.expect("a revocation"),
        End::LapsedWhilePaused => backend.lapse_leases().await,
        End::Unrenewed => {
            while backend.true_value("held").is_some() {
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    let lapsed = StoreError::LeaseLapsed { lease };
    assert_eq!(store.keep_lease_alive(lease).await, Err(lapsed.clone()));
    assert_eq!(store.revoke_lease(lease).await, Err(lapsed));
    let late = store
        .put(held)
        .await
        .expect_err("a put under an ended lease");
    assert!(matches!(late, StoreError::LeaseLapsed { .. }), "{late}");
    assert!(late.to_string().contains("take a new lease"));
    assert!(backend.true_value("free").is_some());
    assert!(backend.true_value("held").is_none());
}

#[rstest]
#[tokio::test]
async fn a_renewed_lease_keeps_its_keys(
    #[values(Implementation::Memory, Implementation::Http)] implementation: Implementation,
) {
    let backend = Backend::start(implementation).await;
    let store = backend.store();
    let lease = store.grant_lease(LONG).await.expect("a lease");
    assert_eq!(lease.time_to_live, LONG);
    let held = PutRequest {
        lease: Some(lease.id),
        ..put("held", "v")
    };
    store.put(held).await.expect("a put under the lease");
    assert_eq!(store.keep_lease_alive(lease.id).await, Ok(LONG));
    let reply = read(&*store, KeyRange::key("held")).await.expect("a range");
    assert_eq!(reply.entries[0].lease, Some(lease.id));
}
