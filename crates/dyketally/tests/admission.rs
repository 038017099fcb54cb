//! Unit tests of the fair queue: order of admission, queue limits, deadlines and slots.

use std::time::Duration;

use dyketally::admission::{
    FairQueue, MAX_SLOT_TIME_CREDIT, RejectionReason, Stage, Submission, Ticket,
};
use dyketally::identifiers::TenantName;
use dyketally::policy::Urgency;
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

const SEED: u64 = 1;
const FAR: Timestamp = Timestamp::from_millis(1_000_000);

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

fn statement(tenant: &str, item: &'static str) -> Submission<&'static str> {
    Submission {
        tenant: TenantName::from(tenant),
        weight: 1,
        queue_limit: 100,
        stage: Stage::Fresh,
        urgency: Urgency::Normal,
        deadline: FAR,
        item,
    }
}

fn enqueue<T>(queue: &mut FairQueue<T>, now: Timestamp, submission: Submission<T>) -> Ticket {
    let mut random = StdRng::seed_from_u64(SEED);
    match queue.enqueue(now, submission, &mut random) {
        Ok(ticket) => ticket,
        Err(rejected) => panic!("rejected: {:?}", rejected.reason),
    }
}

/// Runs all queued statements one at a time, each for `busy` milliseconds, and returns their order.
fn drain(queue: &mut FairQueue<&'static str>, mut now: u64, busy: u64) -> Vec<&'static str> {
    let mut order = Vec::new();
    while let Some(admitted) = queue.next(at(now)) {
        order.push(admitted.item);
        now += busy;
        assert!(queue.finished(at(now), admitted.ticket));
    }
    order
}

#[rstest]
#[case::arrival_order(&[(Stage::Fresh, Urgency::Normal, "first"), (Stage::Fresh, Urgency::Normal, "second")], &["first", "second"])]
#[case::urgent_before_normal(&[(Stage::Fresh, Urgency::Normal, "lookup"), (Stage::Fresh, Urgency::Urgent, "order")], &["order", "lookup"])]
#[case::transaction_before_urgent(&[(Stage::Fresh, Urgency::Urgent, "order"), (Stage::Continuation, Urgency::Normal, "commit")], &["commit", "order"])]
fn own_statements_run_in_order(
    #[case] statements: &[(Stage, Urgency, &'static str)],
    #[case] expected: &[&str],
) {
    let mut queue = FairQueue::new(1);
    for (stage, urgency, item) in statements {
        let submission = Submission {
            stage: *stage,
            urgency: *urgency,
            ..statement("huber", item)
        };
        enqueue(&mut queue, at(0), submission);
    }
    assert_eq!(drain(&mut queue, 0, 1), expected);
}

#[test]
fn urgent_statements_take_nothing_from_another_tenant() {
    let mut queue = FairQueue::new(1);
    for item in ["a1", "a2"] {
        let urgent = Submission {
            urgency: Urgency::Urgent,
            ..statement("a", item)
        };
        enqueue(&mut queue, at(0), urgent);
    }
    enqueue(&mut queue, at(0), statement("b", "b1"));
    enqueue(&mut queue, at(0), statement("b", "b2"));
    assert_eq!(drain(&mut queue, 0, 10), ["a1", "b1", "a2", "b2"]);
}

#[test]
fn shares_are_measured_in_slot_time_not_in_statements() {
    let mut queue = FairQueue::new(2);
    for _ in 0..1_000 {
        for tenant in ["long", "short"] {
            let unlimited = Submission {
                queue_limit: u32::MAX,
                ..statement(tenant, tenant)
            };
            enqueue(&mut queue, at(0), unlimited);
        }
    }
    let mut running: Vec<(u64, Ticket)> = Vec::new();
    for now in 0..5_000 {
        running.retain(|(end, ticket)| *end > now || !queue.finished(at(now), *ticket));
        while let Some(admitted) = queue.next(at(now)) {
            let busy = if admitted.item == "long" { 50 } else { 5 };
            running.push((now + busy, admitted.ticket));
        }
        if queue.status().tenants[&TenantName::from("short")].queued == 0 {
            break;
        }
    }
    let status = queue.status();
    let long = status.tenants[&TenantName::from("long")].counters.busy;
    let short = status.tenants[&TenantName::from("short")].counters.busy;
    let difference = long.abs_diff(short);
    assert!(
        difference <= Duration::from_millis(100),
        "{long:?} and {short:?}"
    );
}

#[test]
fn running_statements_count_towards_the_share() {
    let mut queue = FairQueue::new(2);
    for _ in 0..50 {
        enqueue(&mut queue, at(0), statement("endless", "endless"));
        enqueue(&mut queue, at(0), statement("short", "short"));
    }
    let endless = queue.next(at(0)).expect("a slot is free");
    assert_eq!(endless.item, "endless");
    assert_eq!(drain(&mut queue, 100, 10)[..40], ["short"; 40]);
}

#[rstest]
#[case::no_statement_ran_meanwhile(0)]
#[case::a_lone_tenant_ran_for_long(10_000)]
fn an_idle_tenant_saves_up_a_bounded_credit(#[case] lone_milliseconds: u64) {
    let busy = Duration::from_millis(5);
    let mut queue = FairQueue::new(1);
    enqueue(&mut queue, at(0), statement("lone", "lone"));
    let lone = queue.next(at(0)).expect("a slot is free");
    assert!(queue.finished(at(lone_milliseconds), lone.ticket));
    for _ in 0..100 {
        let now = at(lone_milliseconds);
        enqueue(&mut queue, now, statement("lone", "lone"));
        enqueue(&mut queue, now, statement("late", "late"));
    }
    let order = drain(&mut queue, lone_milliseconds, 5);
    let difference = |count: usize| {
        let late = order[..count].iter().filter(|item| **item == "late");
        let late = late.count();
        busy * u32::try_from(late.abs_diff(count - late)).expect("few")
    };
    let max_difference = MAX_SLOT_TIME_CREDIT + busy;
    assert!(
        (1..=100).all(|count| difference(count) <= max_difference),
        "{:?}",
        &order[..100]
    );
}

#[test]
fn a_full_queue_rejects_with_a_retry_after() {
    let mut queue = FairQueue::new(0);
    let mut random = StdRng::seed_from_u64(SEED);
    let limited = || Submission {
        queue_limit: 1,
        ..statement("a", "x")
    };
    assert!(queue.enqueue(at(0), limited(), &mut random).is_ok());
    let rejected = queue
        .enqueue(at(0), limited(), &mut random)
        .expect_err("full");
    assert_eq!(rejected.reason, RejectionReason::QueueFull);
    assert!(rejected.retry_after > Duration::ZERO);
    let continuation = Submission {
        stage: Stage::Continuation,
        ..limited()
    };
    assert!(queue.enqueue(at(0), continuation, &mut random).is_ok());
}

#[test]
fn retry_after_follows_the_drain_rate() {
    let retry_after_at = |busy: u64| {
        let mut queue = FairQueue::new(1);
        for _ in 0..30 {
            enqueue(&mut queue, at(0), statement("a", "x"));
        }
        for turn in 0..20 {
            let admitted = queue.next(at(turn * busy)).expect("a statement is queued");
            assert!(queue.finished(at((turn + 1) * busy), admitted.ticket));
        }
        let mut random = StdRng::seed_from_u64(SEED);
        let full = Submission {
            queue_limit: 10,
            ..statement("a", "x")
        };
        let rejected = queue.enqueue(at(20 * busy), full, &mut random);
        rejected.expect_err("full").retry_after
    };
    let (fast, slow) = (retry_after_at(2), retry_after_at(20));
    assert!(slow > fast * 5, "{fast:?} and {slow:?}");
}

#[test]
fn a_statement_past_its_deadline_expires_and_is_never_admitted() {
    let mut queue = FairQueue::new(1);
    let mut random = StdRng::seed_from_u64(SEED);
    let short = Submission {
        deadline: at(10),
        ..statement("a", "short")
    };
    let short = enqueue(&mut queue, at(0), short);
    enqueue(&mut queue, at(0), statement("a", "patient"));
    assert_eq!(queue.latest_start(short), Some(at(10)));
    assert!(queue.expire(at(9), &mut random).is_empty());
    let admitted = queue.next(at(10)).expect("a statement may still run");
    assert_eq!(admitted.item, "patient");
    let expired = queue.expire(at(10), &mut random);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].item, "short");
    assert!(expired[0].retry_after > Duration::ZERO);
    let late = Submission {
        deadline: at(10),
        ..statement("a", "late")
    };
    let rejected = queue
        .enqueue(at(10), late, &mut random)
        .expect_err("too late");
    assert_eq!(rejected.reason, RejectionReason::DeadlinePassed);
}

/// A queue whose tenant has run 20 statements of `busy` milliseconds each, and the time at which the last one ended.
fn queue_with_history(busy: u64) -> (FairQueue<&'static str>, Timestamp) {
    let mut queue = FairQueue::new(1);
    for _ in 0..20 {
        enqueue(&mut queue, at(0), statement("a", "x"));
    }
    drain(&mut queue, 0, busy);
    (queue, at(20 * busy))
}

#[rstest]
#[case::service_time_is_reserved(20, 100, 80)]
#[case::at_most_half_of_the_lifetime_is_reserved(80, 100, 50)]
fn a_statement_expires_when_it_can_no_longer_finish_in_time(
    #[case] busy: u64,
    #[case] lifetime: u64,
    #[case] waits: u64,
) {
    let (mut queue, now) = queue_with_history(busy);
    let short = Submission {
        deadline: now + Duration::from_millis(lifetime),
        ..statement("a", "short")
    };
    let short = enqueue(&mut queue, now, short);
    let latest_start = now + Duration::from_millis(waits);
    assert_eq!(queue.latest_start(short), Some(latest_start));
    let mut random = StdRng::seed_from_u64(SEED);
    assert_eq!(queue.expire(latest_start, &mut random).len(), 1);
}

#[rstest]
#[case::fresh_behind_four(Stage::Fresh, Urgency::Normal, false)]
#[case::urgent_passes_them(Stage::Fresh, Urgency::Urgent, true)]
#[case::transactions_always_wait(Stage::Continuation, Urgency::Normal, true)]
fn a_statement_that_would_wait_too_long_is_rejected_at_once(
    #[case] stage: Stage,
    #[case] urgency: Urgency,
    #[case] accepted: bool,
) {
    let (mut queue, now) = queue_with_history(20);
    for _ in 0..4 {
        enqueue(&mut queue, now, statement("a", "patient"));
    }
    let mut random = StdRng::seed_from_u64(SEED);
    let hurried = Submission {
        stage,
        urgency,
        deadline: now + Duration::from_millis(80),
        ..statement("a", "hurried")
    };
    let result = queue.enqueue(now, hurried, &mut random);
    let reason = result.err().map(|rejected| rejected.reason);
    assert_eq!(reason, (!accepted).then_some(RejectionReason::WaitTooLong));
}

#[test]
fn an_ineligible_statement_keeps_its_place() {
    let mut queue = FairQueue::new(2);
    enqueue(&mut queue, at(0), statement("a", "a"));
    enqueue(&mut queue, at(0), statement("b", "b"));
    let blocked = TenantName::from("a");
    let passed = queue.next_eligible(at(0), |tenant, _| *tenant != blocked);
    assert_eq!(passed.expect("b may run").item, "b");
    assert!(
        queue
            .next_eligible(at(0), |tenant, _| *tenant != blocked)
            .is_none()
    );
    assert_eq!(queue.next(at(0)).expect("a may run now").item, "a");
}

#[test]
fn fewer_slots_let_running_statements_finish() {
    let mut queue = FairQueue::new(2);
    for _ in 0..4 {
        enqueue(&mut queue, at(0), statement("a", "x"));
    }
    let first = queue.next(at(0)).expect("a slot is free");
    let second = queue.next(at(0)).expect("a slot is free");
    queue.set_slots(1);
    assert!(queue.finished(at(1), first.ticket));
    assert!(queue.next(at(1)).is_none());
    assert!(queue.finished(at(2), second.ticket));
    assert!(queue.next(at(2)).is_some());
    assert!(queue.next(at(2)).is_none());
}

#[test]
fn a_slot_is_released_once() {
    let mut queue = FairQueue::new(1);
    enqueue(&mut queue, at(0), statement("a", "x"));
    let admitted = queue.next(at(0)).expect("a slot is free");
    assert!(queue.withdraw(admitted.ticket).is_none());
    assert!(queue.finished(at(1), admitted.ticket));
    assert!(!queue.finished(at(2), admitted.ticket));
    assert_eq!(queue.status().unknown_finished, 1);
}

#[test]
fn withdrawn_statements_leave_the_queue() {
    let mut queue = FairQueue::new(0);
    let first = enqueue(&mut queue, at(0), statement("a", "first"));
    let second = enqueue(&mut queue, at(0), statement("b", "second"));
    assert_eq!(
        queue.withdraw(first).expect("the statement is queued").item,
        "first"
    );
    assert!(queue.withdraw(first).is_none());
    assert_eq!(
        queue
            .withdraw(second)
            .expect("the statement is queued")
            .item,
        "second"
    );
    assert_eq!(queue.queued(), 0);
    queue.retain_tenants(|_| false);
    assert!(queue.status().tenants.is_empty());
}
