//! Health of one database, as this node observes it in statements and probes: latency, failures, and whether
//! its log was behind.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::Evidence;
use dyketally::group::LogPosition;
use dyketally::retry::Backoff;
use tokio::time::Instant;

use crate::database::pool::Pool;

/// Weight of a new sample in the average latency, from 0 to 1. The last seven samples or so make up most of
/// the average, so that a single slow statement doesn't move reads to another database.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Half-life with which the average latency returns to the expected one while no samples arrive, so that a
/// database that was slow gets reads again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long a database is suspended after a failure, so that reads prefer other databases: about as long as
/// replacing a primary takes, 0.4 to 0.8 s.
const SUSPENSION: Duration = Duration::from_millis(700);
/// How long a replica that lacked a position is excluded from reads that need that position or a later one,
/// while the group has a primary; doubles each time that the replica lacks a needed position again. The first
/// delay is short: this node may observe a new position of the group only every 400 ms, and a replica that
/// catches up earlier should serve reads again before then.
const BEHIND_EXCLUSION: Backoff = Backoff {
    first: Duration::from_millis(60),
    longest: Duration::from_millis(1_000),
};

/// This node's connections to one database, and the health that it observed.
pub struct DatabaseState {
    /// Connections to the database.
    pub pool: Rc<Pool>,
    /// Number of statements sent to the database and not yet answered.
    pub in_flight: Cell<u32>,
    /// True while a probe of the database runs.
    pub probe_running: Cell<bool>,
    /// Average latency of answers, in milliseconds, as of `sampled_at`.
    latency_ms: Cell<f64>,
    sampled_at: Cell<Instant>,
    answered_at: Cell<Option<Instant>>,
    /// Result of the last probe, and when it was recorded.
    evidence: Cell<Option<(Evidence, Instant)>>,
    /// When the database last failed; `None` once it has answered again.
    failed_at: Cell<Option<Instant>>,
    /// The position that the database last lacked; `None` once it has held a needed position again.
    behind: Cell<Option<Behind>>,
}

/// The position that a replica lacked when a read last needed it.
#[derive(Clone, Copy)]
struct Behind {
    needed: LogPosition,
    at: Instant,
    /// Number of consecutive reads that found the replica behind; reads during an exclusion don't count.
    count: u32,
}

impl Behind {
    fn is_excluded(&self) -> bool {
        self.at.elapsed() < BEHIND_EXCLUSION.longest_delay(self.count)
    }
}

impl DatabaseState {
    /// A database without observations; `expected_ms` is its latency without load, in milliseconds.
    pub fn new(pool: Rc<Pool>, expected_ms: f64) -> Rc<Self> {
        Rc::new(Self {
            pool,
            in_flight: Cell::new(0),
            probe_running: Cell::new(false),
            latency_ms: Cell::new(expected_ms),
            sampled_at: Cell::new(Instant::now()),
            answered_at: Cell::new(None),
            evidence: Cell::new(None),
            failed_at: Cell::new(None),
            behind: Cell::new(None),
        })
    }

    /// Records that a statement was answered after `elapsed`.
    pub fn record_answer(&self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let average = self.latency_ms.get();
        self.latency_ms
            .set(average + SAMPLE_WEIGHT * (sample - average));
        self.sampled_at.set(Instant::now());
        self.answered_at.set(Some(Instant::now()));
        self.failed_at.set(None);
    }

    /// Records that the database could not be reached or that a connection to it broke.
    pub fn record_failure(&self) {
        self.failed_at.set(Some(Instant::now()));
    }

    /// Records that the database's log lacked `needed`.
    pub fn record_behind(&self, needed: LogPosition) {
        let count = match self.behind.get() {
            Some(behind) if behind.is_excluded() => behind.count,
            Some(behind) => behind.count + 1,
            None => 1,
        };
        let at = Instant::now();
        self.behind.set(Some(Behind { needed, at, count }));
    }

    /// Records that the database's log held the position that a read needed.
    pub fn record_fresh(&self) {
        self.behind.set(None);
    }

    /// True while the database is suspended after a failure, so that reads prefer other databases.
    pub fn is_suspended(&self) -> bool {
        self.failed_at
            .get()
            .is_some_and(|at| at.elapsed() < SUSPENSION)
    }

    /// True while the database is excluded from reads that need `needed`, because its log probably still lacks
    /// that position.
    pub fn is_behind(&self, needed: LogPosition) -> bool {
        let behind = self.behind.get();
        behind.is_some_and(|behind| behind.needed <= needed && behind.is_excluded())
    }

    /// True when the database has answered a statement since `time`.
    pub fn answered_since(&self, time: Instant) -> bool {
        self.answered_at.get().is_some_and(|at| at >= time)
    }

    /// Records the result of a probe.
    pub fn record_probe(&self, evidence: Evidence) {
        self.evidence.set(Some((evidence, Instant::now())));
    }

    /// The result of the last probe, if it failed less than `age` ago and no statement was answered since.
    pub fn recent_failure(&self, age: Duration) -> Option<Evidence> {
        let (evidence, at) = self.evidence.get()?;
        let failed = evidence != Evidence::Answered && !self.answered_since(at);
        (failed && at.elapsed() < age).then_some(evidence)
    }

    /// Estimated latency of one more statement, in milliseconds. `expected_ms` is the latency without load,
    /// below which the estimate never falls; `slots` is the number of statements that the database runs at the
    /// same time.
    pub fn latency_estimate(&self, expected_ms: f64, slots: u32) -> f64 {
        let idle = self.sampled_at.get().elapsed().as_secs_f64();
        let decay = 0.5_f64.powf(idle / LATENCY_HALF_LIFE.as_secs_f64());
        let average = expected_ms + (self.latency_ms.get() - expected_ms) * decay;
        let average = average.max(expected_ms);
        let queued = f64::from(self.in_flight.get()) / f64::from(slots.max(1));
        average * (1.0 + queued)
    }
}

/// Guard that counts one statement as in flight until it is dropped.
pub struct InFlight {
    state: Rc<DatabaseState>,
}

impl InFlight {
    /// Counts one more statement in flight.
    pub fn begin(state: &Rc<DatabaseState>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        Self {
            state: state.clone(),
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.in_flight.set(self.state.in_flight.get() - 1);
    }
}
