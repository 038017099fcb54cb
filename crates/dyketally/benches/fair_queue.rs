//! Cost of one statement in the fair queue, by number of tenants that wait.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use dyketally::admission::{FairQueue, Stage, Submission};
use dyketally::identifiers::TenantName;
use dyketally::policy::Urgency;
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;

const SLOTS: u32 = 5;
const WAITING_EACH: usize = 10;
const SERVICE_TIME: Duration = Duration::from_millis(5);
const DEADLINE: Duration = Duration::from_secs(3_600);

/// A queue in which every tenant has statements that wait.
struct Backlog {
    queue: FairQueue<usize>,
    names: Vec<TenantName>,
    random: StdRng,
    now: Timestamp,
}

impl Backlog {
    fn new(tenants: usize) -> Self {
        let mut backlog = Backlog {
            queue: FairQueue::new(SLOTS),
            names: (0..tenants)
                .map(|number| TenantName::new(format!("tenant-{number}")))
                .collect(),
            random: StdRng::seed_from_u64(1),
            now: Timestamp::ZERO,
        };
        for _ in 0..WAITING_EACH {
            (0..tenants).for_each(|tenant| backlog.enqueue(tenant));
        }
        backlog
    }

    fn enqueue(&mut self, tenant: usize) {
        let submission = Submission {
            tenant: self.names[tenant].clone(),
            weight: 1,
            queue_limit: u32::MAX,
            stage: Stage::Fresh,
            urgency: Urgency::Normal,
            deadline: self.now + DEADLINE,
            item: tenant,
        };
        let result = self.queue.enqueue(self.now, submission, &mut self.random);
        assert!(result.is_ok(), "the queue has no bound");
    }

    /// One statement gets a slot and runs, and its tenant sends another.
    fn turn(&mut self) {
        let admitted = self.queue.next(self.now).expect("one waits");
        self.now = self.now + SERVICE_TIME;
        self.queue.finished(self.now, admitted.ticket);
        self.enqueue(black_box(admitted.item));
    }
}

fn statement(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("enqueue_next_finished");
    group.throughput(Throughput::Elements(1));
    for tenants in [10, 100, 1_000] {
        let mut backlog = Backlog::new(tenants);
        let id = BenchmarkId::from_parameter(tenants);
        group.bench_function(id, |bencher| bencher.iter(|| backlog.turn()));
    }
    group.finish();
}

criterion_group!(benches, statement);
criterion_main!(benches);
