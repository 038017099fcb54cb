//! What this node knows of one database from its own traffic.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::Evidence;
use dyketally::group::LogPosition;
use dyketally::retry::Backoff;
use tokio::time::Instant;

use crate::database::pool::Pool;

/// Weight of a new sample in the average latency, from 0 to 1: some seven samples make up most of it, so
/// that a single slow statement doesn't turn reads away. Not measured.
const SAMPLE_WEIGHT: f64 = 0.15;
/// Time in which the average latency loses half of its distance to the expected one, so that a database
/// which was slow is tried again without a sample. Not measured.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long a database that failed is passed over by reads: about as long as replacing a primary takes,
/// 0.4 to 0.8 s. Not measured.
const SUSPENSION: Duration = Duration::from_millis(700);
/// How long a replica that was behind is passed over by reads that need more than it had; twice as
/// long each time that it still is. The first step is short where a node sees a group once in 400 ms.
/// Not measured.
const BEHIND: Backoff = Backoff {
    first: Duration::from_millis(60),
    longest: Duration::from_millis(1_000),
};

/// A database as this node uses it.
pub struct DatabaseState {
    /// Connections to it.
    pub pool: Rc<Pool>,
    /// Statements sent to it and not answered.
    pub in_flight: Cell<u32>,
    /// True while a probe of it runs.
    pub probed: Cell<bool>,
    latency_ms: Cell<f64>,
    sampled: Cell<Instant>,
    answered: Cell<Option<Instant>>,
    evidence: Cell<Option<(Evidence, Instant)>>,
    suspended: Cell<Option<Instant>>,
    behind: Cell<Option<Behind>>,
}

/// What a replica lacked when it was last asked for it.
#[derive(Clone, Copy)]
struct Behind {
    needed: LogPosition,
    at: Instant,
    /// How often in a row it was behind, counted once each time that it was asked again.
    times: u32,
}

impl Behind {
    fn is_held(&self) -> bool {
        self.at.elapsed() < BEHIND.longest_delay(self.times)
    }
}

impl DatabaseState {
    /// A database that nothing is known of but the latency to expect.
    pub fn new(pool: Rc<Pool>, expected_ms: f64) -> Rc<Self> {
        Rc::new(Self {
            pool,
            in_flight: Cell::new(0),
            probed: Cell::new(false),
            latency_ms: Cell::new(expected_ms),
            sampled: Cell::new(Instant::now()),
            answered: Cell::new(None),
            evidence: Cell::new(None),
            suspended: Cell::new(None),
            behind: Cell::new(None),
        })
    }

    /// Records that a statement was answered.
    pub fn answered(&self, elapsed: Duration) {
        let sample = elapsed.as_secs_f64() * 1_000.0;
        let average = self.latency_ms.get();
        self.latency_ms
            .set(average + SAMPLE_WEIGHT * (sample - average));
        self.sampled.set(Instant::now());
        self.answered.set(Some(Instant::now()));
        self.suspended.set(None);
    }

    /// Records that it could not be reached or broke a connection.
    pub fn failed(&self) {
        self.suspended.set(Some(Instant::now()));
    }

    /// Records that its log lacked `needed`.
    pub fn was_behind(&self, needed: LogPosition) {
        let times = match self.behind.get() {
            Some(behind) if behind.is_held() => behind.times,
            Some(behind) => behind.times + 1,
            None => 1,
        };
        let at = Instant::now();
        self.behind.set(Some(Behind { needed, at, times }));
    }

    /// Records that its log held what a read needed.
    pub fn was_fresh(&self) {
        self.behind.set(None);
    }

    /// True when reads should go elsewhere if they can.
    pub fn is_suspended(&self) -> bool {
        self.suspended
            .get()
            .is_some_and(|at| at.elapsed() < SUSPENSION)
    }

    /// True when its log probably still lacks `needed`.
    pub fn is_behind(&self, needed: LogPosition) -> bool {
        let behind = self.behind.get();
        behind.is_some_and(|behind| behind.needed <= needed && behind.is_held())
    }

    /// True when it answered since `time`.
    pub fn answered_since(&self, time: Instant) -> bool {
        self.answered.get().is_some_and(|at| at >= time)
    }

    /// Records what a probe found.
    pub fn probed_as(&self, evidence: Evidence) {
        self.evidence.set(Some((evidence, Instant::now())));
    }

    /// What a probe within `age` found, if it failed and nothing was answered since.
    pub fn recent_failure(&self, age: Duration) -> Option<Evidence> {
        let (evidence, at) = self.evidence.get()?;
        let failed = evidence != Evidence::Answered && !self.answered_since(at);
        (failed && at.elapsed() < age).then_some(evidence)
    }

    /// The latency to expect of one more statement, in milliseconds; `expected_ms` is what it is
    /// without load, and the least that is assumed.
    pub fn latency_estimate(&self, expected_ms: f64, slots: u32) -> f64 {
        let idle = self.sampled.get().elapsed().as_secs_f64();
        let decay = 0.5_f64.powf(idle / LATENCY_HALF_LIFE.as_secs_f64());
        let average = expected_ms + (self.latency_ms.get() - expected_ms) * decay;
        let average = average.max(expected_ms);
        let queued = f64::from(self.in_flight.get()) / f64::from(slots.max(1));
        average * (1.0 + queued)
    }
}

/// Counts a statement as in flight until it is dropped.
pub struct InFlight {
    state: Rc<DatabaseState>,
}

impl InFlight {
    /// Counts one more.
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
