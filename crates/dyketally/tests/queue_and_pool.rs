//! The fair queue and the connection pool of one database together, as its home drives them, on a simulated clock in
//! milliseconds.

use std::collections::{BTreeMap, BTreeSet};

use dyketally::admission::{FairQueue, Stage, Submission, Ticket};
use dyketally::identifiers::TenantName;
use dyketally::policy::Urgency;
use dyketally::pool::{ConnectionId, Pool, PoolAction, PoolSettings, ReleaseCondition};
use dyketally::time::Timestamp;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time to open a connection, in milliseconds.
const CONNECT_TIME: u64 = 12;
/// Longest simulated run, in milliseconds.
const LONGEST_RUN: u64 = 600_000;

/// A caller that runs its transactions one after the other.
#[derive(Clone, Debug)]
struct Caller {
    tenant: usize,
    /// Statements in each transaction.
    transactions: Vec<u32>,
    /// Busy time of a statement, milliseconds.
    busy: u64,
    /// Pause before each statement, milliseconds.
    pause: u64,
}

#[derive(Clone, Copy, Debug)]
enum Activity {
    Pausing { until: u64 },
    Waiting,
    Running { until: u64, ticket: Ticket },
    Done,
}

struct Session {
    caller: Caller,
    transaction: usize,
    statement: u32,
    connection: Option<ConnectionId>,
    activity: Activity,
}

struct Home {
    now: u64,
    slots: u32,
    limit: u32,
    queue: FairQueue<usize>,
    pool: Pool,
    random: StdRng,
    opening: BTreeMap<ConnectionId, u64>,
    sessions: Vec<Session>,
}

fn name(tenant: usize) -> TenantName {
    TenantName::new(format!("tenant-{tenant}"))
}

fn at(milliseconds: u64) -> Timestamp {
    Timestamp::from_millis(milliseconds)
}

impl Home {
    fn new(slots: u32, limit: u32, callers: Vec<Caller>) -> Self {
        let sessions = callers.into_iter().map(|caller| Session {
            activity: Activity::Pausing {
                until: caller.pause,
            },
            caller,
            transaction: 0,
            statement: 0,
            connection: None,
        });
        Home {
            now: 0,
            slots,
            limit,
            queue: FairQueue::new(slots),
            pool: Pool::new(PoolSettings::for_database(limit, slots)),
            random: StdRng::seed_from_u64(1),
            opening: BTreeMap::new(),
            sessions: sessions.collect(),
        }
    }

    /// Runs until every caller is done, or for `LONGEST_RUN`, which is far longer than the callers can need.
    fn run(&mut self) {
        while self.now < LONGEST_RUN && !self.is_done() {
            self.step();
        }
    }

    /// Simulates one millisecond.
    fn step(&mut self) {
        self.connect();
        for session in 0..self.sessions.len() {
            self.advance(session);
        }
        self.admit();
        self.poll();
        self.check();
        self.now += 1;
    }

    fn is_done(&self) -> bool {
        let mut sessions = self.sessions.iter();
        sessions.all(|session| matches!(session.activity, Activity::Done))
    }

    fn connect(&mut self) {
        let due = self.opening.iter().filter(|(_, due)| **due <= self.now);
        let due: Vec<ConnectionId> = due.map(|(connection, _)| *connection).collect();
        for connection in due {
            self.opening.remove(&connection);
            if self.pool.connected(at(self.now), connection).is_some() {
                self.pool.closed(connection);
            }
        }
    }

    fn advance(&mut self, index: usize) {
        match self.sessions[index].activity {
            Activity::Pausing { until } if until <= self.now => self.send(index),
            Activity::Running { until, ticket } if until <= self.now => self.end(index, ticket),
            _ => {}
        }
    }

    fn send(&mut self, index: usize) {
        let session = &mut self.sessions[index];
        session.activity = Activity::Waiting;
        let stage = match session.connection {
            Some(_) => Stage::Continuation,
            None => Stage::Fresh,
        };
        let tenant = name(session.caller.tenant);
        if stage == Stage::Fresh {
            self.pool.record_demand(at(self.now), &tenant, 1);
        }
        let submission = Submission {
            tenant,
            weight: 1,
            queue_limit: u32::MAX,
            stage,
            urgency: Urgency::Normal,
            deadline: at(LONGEST_RUN * 1_000),
            item: index,
        };
        let result = self
            .queue
            .enqueue(at(self.now), submission, &mut self.random);
        assert!(result.is_ok(), "the queue has no bound");
    }

    fn end(&mut self, index: usize, ticket: Ticket) {
        assert!(self.queue.finished(at(self.now), ticket));
        let session = &mut self.sessions[index];
        let connection = session
            .connection
            .expect("a running statement has a connection");
        session.statement += 1;
        if session.statement < session.caller.transactions[session.transaction] {
            self.pool.pin(connection);
        } else {
            session.connection = None;
            session.statement = 0;
            session.transaction += 1;
            let condition = ReleaseCondition::Clean;
            if self
                .pool
                .release(at(self.now), connection, condition)
                .is_some()
            {
                self.pool.closed(connection);
            }
        }
        session.activity = if session.transaction < session.caller.transactions.len() {
            let until = self.now + session.caller.pause;
            Activity::Pausing { until }
        } else {
            Activity::Done
        };
    }

    fn admit(&mut self) {
        loop {
            let pool = &self.pool;
            let admitted = self.queue.next_eligible(at(self.now), |tenant, stage| {
                stage == Stage::Continuation || pool.can_acquire(tenant)
            });
            let Some(admitted) = admitted else {
                return;
            };
            let session = &mut self.sessions[admitted.item];
            if admitted.stage == Stage::Fresh {
                let connection = self.pool.acquire(at(self.now), &admitted.tenant, 1);
                assert!(
                    connection.is_some(),
                    "a statement was admitted without a connection"
                );
                session.connection = connection;
            }
            session.activity = Activity::Running {
                until: self.now + session.caller.busy,
                ticket: admitted.ticket,
            };
        }
    }

    fn poll(&mut self) {
        let waiting = u32::try_from(self.queue.queued_fresh()).expect("few");
        let demand = waiting.min(self.queue.free_slots());
        for action in self.pool.poll(at(self.now), demand) {
            match action {
                PoolAction::Open { connection } => {
                    self.opening.insert(connection, self.now + CONNECT_TIME);
                }
                PoolAction::Close { connection } => self.pool.closed(connection),
            }
        }
    }

    fn check(&self) {
        assert!(self.queue.running() <= self.slots as usize);
        let held = self
            .sessions
            .iter()
            .filter_map(|session| session.connection);
        let held: Vec<ConnectionId> = held.collect();
        let distinct: BTreeSet<&ConnectionId> = held.iter().collect();
        assert_eq!(
            held.len(),
            distinct.len(),
            "two sessions share a connection"
        );
        assert!(held.len() <= self.limit as usize);
    }
}

fn caller() -> impl Strategy<Value = Caller> {
    let transactions = prop::collection::vec(1_u32..5, 1..6);
    let caller = (0_usize..4, transactions, 1_u64..30, 0_u64..100);
    caller.prop_map(|(tenant, transactions, busy, pause)| Caller {
        tenant,
        transactions,
        busy,
        pause,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

    #[test]
    fn every_transaction_ends_on_the_connection_it_began_on(
        slots in 1_u32..4,
        limit in 1_u32..8,
        callers in prop::collection::vec(caller(), 1..20),
    ) {
        let mut home = Home::new(slots, limit, callers);
        home.run();
        prop_assert!(home.is_done(), "callers are not done within the longest run; queue: {:?}", home.queue.status());
        prop_assert_eq!(home.pool.status().counters.unexpected_reports, 0);
    }
}

#[test]
fn endless_transactions_do_not_block_single_statements_of_others() {
    let endless = Caller {
        tenant: 0,
        transactions: vec![u32::MAX],
        busy: 1,
        pause: 1_000,
    };
    let single = Caller {
        tenant: 1,
        transactions: vec![1; 100],
        busy: 5,
        pause: 10,
    };
    let mut callers = vec![endless; 60];
    callers.push(single);
    let mut home = Home::new(5, 40, callers);
    while home.now < 30_000 && home.sessions[60].transaction < 100 {
        home.step();
    }
    // Each statement takes a pause of 10 ms, 5 ms of busy time and a wait of up to 10 ms; opening connections takes up
    // to 1 s.
    let longest = 100 * (10 + 5 + 10) + 1_000;
    assert!(home.now <= longest, "{} ms", home.now);
}
