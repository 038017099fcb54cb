//! Changes of the configuration, and an outage of the service.

use std::time::{Duration, Instant};

use dyketally::policy::Revision;
use dyketally_proxy::stores::memory::{FaultPlan, Outage, RateLimit};

use crate::scale::fleet::Fleet;
use crate::scale::layout::tenant_change;
use crate::scale::result::Timing;

/// Longest wait for a change to be in force everywhere.
const PATIENCE: Duration = Duration::from_secs(20);

/// How long the service is away.
const OUTAGE: Duration = Duration::from_secs(3);

/// The service's limit in the run.
pub const SERVICE_LIMIT: RateLimit = RateLimit {
    requests_per_second: 100,
    burst: 100,
};

/// Publishes `count` changes, one after the other is in force everywhere.
///
/// # Errors
/// When a change isn't accepted.
pub async fn change(fleet: &mut Fleet, count: usize) -> eyre::Result<Vec<Timing>> {
    let observers = fleet.numbers();
    let mut times = Vec::new();
    for number in 0..count {
        let begun = Instant::now();
        let edits = tenant_change(number, fleet.databases, 100 + number);
        let revision = fleet.publish(edits).await?;
        times.extend(noticed(fleet, begun, &observers, revision).await);
    }
    Ok(vec![Timing::of("publication until in force", &times)])
}

/// Takes the service away, starts a node anew meanwhile, and publishes once it is back.
///
/// # Errors
/// When the system has no ports left, or a change isn't accepted.
pub async fn outage(fleet: &mut Fleet, restarted: usize) -> eyre::Result<Vec<Timing>> {
    let store = fleet.surroundings.store.clone();
    let away = Instant::now();
    store.set_faults(FaultPlan {
        outage: Outage::Refuse,
        ..limited()
    });
    fleet.kill(restarted).await;
    let started_at = Instant::now();
    fleet.start(restarted).await?;
    let caught_up = fleet.wait_until(PATIENCE, Fleet::is_in_force).await;
    let caught_up = caught_up.map(|_| started_at.elapsed());
    tokio::time::sleep(OUTAGE.saturating_sub(away.elapsed())).await;
    store.set_faults(limited());
    let back = Instant::now();
    let observers = fleet.numbers();
    let edits = tenant_change(0, fleet.databases, 1_000);
    let revision = fleet.publish(edits).await?;
    let times = noticed(fleet, back, &observers, revision).await;
    Ok(vec![
        Timing::of("start during the outage until configured", &[caught_up]),
        Timing::of("end of the outage until a change is in force", &times),
    ])
}

/// Time from `since` until each of `observers` noticed that `revision` is in force. A node notices a
/// little after its configuration has changed, so this waits for the notices.
async fn noticed(
    fleet: &Fleet,
    since: Instant,
    observers: &[usize],
    revision: Revision,
) -> Vec<Option<Duration>> {
    let times = |fleet: &Fleet| fleet.times_in_force(since, observers, revision);
    let all_noticed =
        |fleet: &Fleet| fleet.is_in_force() && times(fleet).iter().all(Option::is_some);
    fleet.wait_until(PATIENCE, all_noticed).await;
    times(fleet)
}

/// No faults but the service's limit.
pub fn limited() -> FaultPlan {
    FaultPlan {
        rate_limit: Some(SERVICE_LIMIT),
        ..FaultPlan::default()
    }
}
