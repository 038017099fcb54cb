//! Retries: when a failed statement is sent again, and that retries stay a fixed share of fresh statements.

use std::time::Duration;

use dyketally::identifiers::TenantName;
use dyketally::policy::Repeat;
use dyketally::retry::{
    Attempt, Backoff, Decision, GiveUpReason, Retrier, RetrySettings, TenantRetriers,
};
use dyketally::time::Timestamp;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const SEED: u64 = 1;
const NOW: Timestamp = Timestamp::from_millis(1_000);

fn settings(percent_of_fresh: u32, burst: u32) -> RetrySettings {
    RetrySettings {
        percent_of_fresh,
        burst,
        ..RetrySettings::default()
    }
}

fn attempt() -> Attempt {
    Attempt {
        number: 1,
        may_have_run: true,
        repeat: Repeat::Repeatable,
        retry_after: None,
        deadline: NOW + Duration::from_secs(5),
    }
}

#[rstest]
#[case::repeatable(attempt(), 1, None)]
#[case::recorded(Attempt { repeat: Repeat::Recorded, ..attempt() }, 1, None)]
#[case::may_not_run_twice(Attempt { repeat: Repeat::Never, ..attempt() }, 1, Some(GiveUpReason::NotRepeatable))]
#[case::was_not_run(Attempt { repeat: Repeat::Never, may_have_run: false, ..attempt() }, 1, None)]
#[case::deadline_now(Attempt { deadline: NOW, ..attempt() }, 1, Some(GiveUpReason::DeadlineTooNear))]
#[case::retry_after_beyond_the_deadline(Attempt { retry_after: Some(Duration::from_secs(6)), ..attempt() }, 1, Some(GiveUpReason::DeadlineTooNear))]
#[case::budget_spent(attempt(), 0, Some(GiveUpReason::BudgetSpent))]
fn decides_by_outcome_deadline_and_budget(
    #[case] attempt: Attempt,
    #[case] burst: u32,
    #[case] gives_up: Option<GiveUpReason>,
) {
    let mut retrier = Retrier::new(settings(10, burst));
    let mut random = StdRng::seed_from_u64(SEED);
    match (retrier.decide(NOW, &attempt, &mut random), gives_up) {
        (Decision::RetryAt(at), None) => assert!(at > NOW && at < attempt.deadline),
        (Decision::GiveUp(reason), Some(expected)) => assert_eq!(reason, expected),
        (decision, expected) => panic!("{decision:?}, expected {expected:?}"),
    }
}

#[test]
fn waits_at_least_for_the_retry_after() {
    let requested_wait = Duration::from_millis(700);
    let mut retrier = Retrier::new(RetrySettings::default());
    let mut random = StdRng::seed_from_u64(SEED);
    let attempt_with_wait = Attempt {
        retry_after: Some(requested_wait),
        ..attempt()
    };
    let decision = retrier.decide(NOW, &attempt_with_wait, &mut random);
    assert_eq!(decision, Decision::RetryAt(NOW + requested_wait));
}

#[test]
fn a_refused_retry_costs_no_budget() {
    let mut retrier = Retrier::new(settings(10, 1));
    let mut random = StdRng::seed_from_u64(SEED);
    let too_late = Attempt {
        deadline: NOW,
        ..attempt()
    };
    retrier.decide(NOW, &too_late, &mut random);
    let decision = retrier.decide(NOW, &attempt(), &mut random);
    assert!(matches!(decision, Decision::RetryAt(_)), "{decision:?}");
}

#[test]
fn a_tenant_that_fails_leaves_the_budget_of_others() {
    let mut retriers = TenantRetriers::new(Retrier::new(settings(10, 2)));
    let mut random = StdRng::seed_from_u64(SEED);
    let (failing, other) = (TenantName::from("failing"), TenantName::from("other"));
    for _ in 0..5 {
        retriers
            .tenant(&failing)
            .decide(NOW, &attempt(), &mut random);
    }
    assert_eq!(retriers.counters()[&failing].budget_spent, 3);
    let decision = retriers.tenant(&other).decide(NOW, &attempt(), &mut random);
    assert!(matches!(decision, Decision::RetryAt(_)), "{decision:?}");
    retriers.retain_tenants(|tenant| *tenant == other);
    assert_eq!(retriers.counters().len(), 1);
}

proptest! {
    #[test]
    fn retries_stay_a_share_of_fresh_statements(
        percent in 0_u32..=100,
        burst in 0_u32..50,
        fresh in prop::collection::vec(any::<bool>(), 0..2_000),
    ) {
        let mut retrier = Retrier::new(settings(percent, burst));
        let mut random = StdRng::seed_from_u64(SEED);
        for is_fresh in fresh {
            if is_fresh {
                retrier.record_fresh();
            } else {
                retrier.decide(NOW, &attempt(), &mut random);
            }
            let counters = retrier.counters();
            let earned = counters.fresh * u64::from(percent) / 100;
            prop_assert!(counters.retried <= u64::from(burst) + earned);
        }
    }

    #[test]
    fn backoff_grows_up_to_its_bound(failures in 1_u32..100, seed in any::<u64>()) {
        let backoff = Backoff {
            first: Duration::from_millis(10),
            longest: Duration::from_secs(1),
        };
        let mut random = StdRng::seed_from_u64(seed);
        let delay = backoff.delay(failures, &mut random);
        let upper = Duration::from_millis(10 << (failures - 1).min(10)).min(backoff.longest);
        prop_assert!(delay <= upper && delay >= upper / 2, "{delay:?} of {upper:?}");
    }
}
