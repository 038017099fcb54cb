//! Stateful fuzzing of the fair queue against a model: a plain list of the queued statements.

use std::cmp::Reverse;
use std::time::Duration;

use dyketally::admission::{FairQueue, RejectionReason, Stage, Submission, Ticket};
use dyketally::identifiers::TenantName;
use dyketally::policy::Urgency;
use dyketally::time::Timestamp;
use proptest::prelude::*;
use proptest::sample::Index;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::StdRng;

const TENANTS: usize = 4;
const QUEUE_LIMIT: u32 = 5;
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
enum Step {
    Enqueue {
        tenant: usize,
        stage: Stage,
        urgency: Urgency,
        lifetime: u64,
    },
    Next {
        blocked: Option<usize>,
    },
    Finish(Index),
    Withdraw(Index),
    Expire,
    AdvanceClock {
        milliseconds: u64,
    },
    SetSlots(u32),
}

/// The generator of steps. It keeps no state: `Harness` works out the expected results next to the queue.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let stage = prop_oneof![1 => Just(Stage::Continuation), 3 => Just(Stage::Fresh)];
        let urgency = prop_oneof![Just(Urgency::Normal), Just(Urgency::Urgent)];
        let enqueue = (0..TENANTS, stage, urgency, 0_u64..50);
        prop_oneof![
            6 => enqueue.prop_map(|(tenant, stage, urgency, lifetime)| {
                Step::Enqueue { tenant, stage, urgency, lifetime }
            }),
            4 => prop::option::weighted(0.2, 0..TENANTS).prop_map(|blocked| Step::Next { blocked }),
            3 => any::<Index>().prop_map(Step::Finish),
            1 => any::<Index>().prop_map(Step::Withdraw),
            1 => Just(Step::Expire),
            2 => (0_u64..20).prop_map(|milliseconds| Step::AdvanceClock { milliseconds }),
            1 => (0_u32..4).prop_map(Step::SetSlots),
        ]
        .boxed()
    }

    fn apply(state: (), _: &Step) {
        state
    }
}

#[derive(Clone, Debug)]
struct Queued {
    ticket: Ticket,
    tenant: usize,
    stage: Stage,
    urgency: Urgency,
    latest_start: Timestamp,
    /// The item in the queue: the number of statements accepted before this one.
    number: u64,
}

struct Harness {
    queue: FairQueue<u64>,
    random: StdRng,
    now: Timestamp,
    slots: u32,
    waiting: Vec<Queued>,
    running: Vec<Ticket>,
    accepted: u64,
    /// Statements that have left the queue: admitted, withdrawn or expired.
    departed: u64,
}

fn name(tenant: usize) -> TenantName {
    TenantName::new(format!("tenant-{tenant}"))
}

impl Harness {
    fn enqueue(&mut self, tenant: usize, stage: Stage, urgency: Urgency, lifetime: u64) {
        let lifetime = Duration::from_millis(lifetime);
        let submission = Submission {
            tenant: name(tenant),
            weight: 1 + tenant as u32,
            queue_limit: QUEUE_LIMIT,
            stage,
            urgency,
            deadline: self.now + lifetime,
            item: self.accepted,
        };
        let expected = self.expected(tenant, stage, urgency, lifetime);
        let result = self.queue.enqueue(self.now, submission, &mut self.random);
        match (result, expected) {
            (Ok(ticket), Ok(latest_start)) => {
                assert_eq!(self.queue.latest_start(ticket), Some(latest_start));
                self.waiting.push(Queued {
                    ticket,
                    tenant,
                    stage,
                    urgency,
                    latest_start,
                    number: self.accepted,
                });
                self.accepted += 1;
            }
            (Err(rejected), Err(expected)) => {
                assert_eq!(rejected.reason, expected);
                check_retry_after(rejected.retry_after);
            }
            (result, expected) => panic!("{result:?}, expected {expected:?}"),
        }
    }

    /// The latest start of a statement that arrives now, or the reason for its rejection.
    fn expected(
        &self,
        tenant: usize,
        stage: Stage,
        urgency: Urgency,
        lifetime: Duration,
    ) -> Result<Timestamp, RejectionReason> {
        let status = self.queue.status().tenants.get(&name(tenant)).copied();
        let service_time = status.map(|status| status.service_time_upper);
        let to_run = service_time.unwrap_or_default().min(lifetime / 2);
        let latest_start = self.now + lifetime - to_run;
        let waiting_time = latest_start.saturating_since(self.now);
        let own = || self.waiting.iter().filter(|it| it.tenant == tenant);
        let fresh = own().filter(|it| it.stage == Stage::Fresh).count();
        let rank = (stage, Reverse(urgency));
        let ahead = own().filter(|it| (it.stage, Reverse(it.urgency)) <= rank);
        let interval = status.and_then(|status| status.drain_interval);
        let wait = interval.unwrap_or_default() * ahead.count() as u32;
        if waiting_time.is_zero() {
            Err(RejectionReason::DeadlinePassed)
        } else if stage == Stage::Fresh && fresh >= QUEUE_LIMIT as usize {
            Err(RejectionReason::QueueFull)
        } else if stage == Stage::Fresh && wait > waiting_time {
            Err(RejectionReason::WaitTooLong)
        } else {
            Ok(latest_start)
        }
    }

    fn next(&mut self, blocked: Option<usize>) {
        let runnable =
            |waiting: &&Queued| waiting.latest_start > self.now && Some(waiting.tenant) != blocked;
        let free = self.running.len() < self.slots as usize;
        let one_can_run = free && self.waiting.iter().any(|waiting| runnable(&waiting));
        let blocked_name = blocked.map(name);
        let eligible = |tenant: &TenantName, _: Stage| Some(tenant) != blocked_name.as_ref();
        let admitted = self.queue.next_eligible(self.now, eligible);
        assert_eq!(admitted.is_some(), one_can_run);
        let Some(admitted) = admitted else {
            return;
        };
        let of_tenant = self.waiting.iter().filter(runnable);
        let first = of_tenant
            .filter(|waiting| name(waiting.tenant) == admitted.tenant)
            .min_by_key(|waiting| (waiting.stage, Reverse(waiting.urgency), waiting.ticket))
            .expect("the tenant has a statement that can run");
        assert_eq!(first.ticket, admitted.ticket);
        assert_eq!(first.number, admitted.item);
        self.remove_queued(admitted.ticket);
        self.running.push(admitted.ticket);
        assert!(self.running.len() <= self.slots as usize);
    }

    fn expire(&mut self) {
        let expired = self.queue.expire(self.now, &mut self.random);
        let late = self
            .waiting
            .iter()
            .filter(|waiting| waiting.latest_start <= self.now);
        assert_eq!(late.count(), expired.len());
        for expired in expired {
            check_retry_after(expired.retry_after);
            let latest_start = self.remove_queued(expired.ticket).latest_start;
            assert!(latest_start <= self.now);
        }
    }

    fn remove_queued(&mut self, ticket: Ticket) -> Queued {
        let index = self.waiting.iter().position(|it| it.ticket == ticket);
        self.departed += 1;
        self.waiting
            .remove(index.expect("a queued statement leaves the queue once"))
    }
}

fn check_retry_after(retry_after: Duration) {
    assert!(retry_after > Duration::ZERO);
    assert!(retry_after <= LONGEST_RETRY_AFTER);
}

struct QueueTest;

impl StateMachineTest for QueueTest {
    type SystemUnderTest = Harness;
    type Reference = Steps;

    fn init_test((): &()) -> Harness {
        Harness {
            queue: FairQueue::new(2),
            random: StdRng::seed_from_u64(1),
            now: Timestamp::ZERO,
            slots: 2,
            waiting: Vec::new(),
            running: Vec::new(),
            accepted: 0,
            departed: 0,
        }
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        match step {
            Step::Enqueue {
                tenant,
                stage,
                urgency,
                lifetime,
            } => harness.enqueue(tenant, stage, urgency, lifetime),
            Step::Next { blocked } => harness.next(blocked),
            Step::Finish(_) if harness.running.is_empty() => {}
            Step::Finish(index) => {
                let chosen = index.index(harness.running.len());
                let ticket = harness.running.swap_remove(chosen);
                assert!(harness.queue.finished(harness.now, ticket));
                assert!(!harness.queue.finished(harness.now, ticket));
            }
            Step::Withdraw(_) if harness.waiting.is_empty() => {}
            Step::Withdraw(index) => {
                let ticket = harness.waiting[index.index(harness.waiting.len())].ticket;
                let withdrawn = harness
                    .queue
                    .withdraw(ticket)
                    .expect("the statement is queued");
                assert_eq!(harness.remove_queued(ticket).number, withdrawn.item);
                assert!(harness.queue.withdraw(ticket).is_none());
            }
            Step::Expire => harness.expire(),
            Step::AdvanceClock { milliseconds } => {
                harness.now = harness.now + Duration::from_millis(milliseconds);
            }
            Step::SetSlots(slots) => {
                harness.slots = slots;
                harness.queue.set_slots(slots);
            }
        }
        harness
    }

    fn check_invariants(harness: &Harness, (): &()) {
        let queue = &harness.queue;
        assert_eq!(queue.queued(), harness.waiting.len());
        assert_eq!(queue.running(), harness.running.len());
        assert_eq!(
            harness.accepted,
            harness.departed + harness.waiting.len() as u64
        );
        for waiting in &harness.waiting {
            let latest_start = queue.latest_start(waiting.ticket);
            assert_eq!(latest_start, Some(waiting.latest_start));
        }
        let fresh = |waiting: &&Queued| waiting.stage == Stage::Fresh;
        assert_eq!(
            queue.queued_fresh(),
            harness.waiting.iter().filter(fresh).count()
        );
        for (tenant, status) in queue.status().tenants {
            let own = |waiting: &&Queued| name(waiting.tenant) == tenant;
            assert_eq!(status.queued, harness.waiting.iter().filter(own).count());
            let counted = status.counters;
            let departed = counted.admitted + counted.expired + counted.withdrawn;
            assert_eq!(counted.enqueued, departed + status.queued as u64);
            assert_eq!(counted.admitted, counted.finished + status.running as u64);
        }
    }
}

prop_state_machine! {
    #[test]
    fn every_statement_leaves_once_and_in_order(sequential 1..200 => QueueTest);
}
