//! Decides whether and when a node watches the key-value service. Only the relays of a zone do.

use std::time::Duration;

use rand::Rng;

use super::backoff;
use super::token_bucket::TokenBucket;
use crate::time::Timestamp;

/// Timing and rates of the relays' watches of the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Watches that all relays together may open per second. Opening one costs two requests, plus one
    /// for each page of documents when too many changes are missing.
    pub fleet_openings_per_second: u32,
    /// Watches that one relay may open in a burst.
    pub burst: u32,
    /// Longest wait after the first failure; doubles with each further failure in a row.
    pub backoff: Duration,
    /// Upper bound of the doubling wait.
    pub longest_backoff: Duration,
    /// A new relay waits for a random part of this time before it opens its first watch. Nodes that
    /// start together and don't know each other yet would otherwise all contact the service at once.
    pub first_opening_spread: Duration,
    /// Mean time after which an open watch is replaced, in case it has stopped reporting unnoticed.
    pub refresh: Duration,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self {
            fleet_openings_per_second: 10,
            burst: 2,
            backoff: Duration::from_millis(250),
            longest_backoff: Duration::from_secs(15),
            first_opening_spread: Duration::from_secs(2),
            refresh: Duration::from_secs(15),
        }
    }
}

/// Number of a watch, ascending within one node. Failures reported by an earlier watch are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The node is not a relay.
    Idle,
    /// The next watch is to be opened at `until`.
    Waiting { until: Timestamp },
    /// A watch is open or being opened; it is replaced at `refresh_at`.
    Open { refresh_at: Timestamp },
}

/// What the driver of a relay has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayStep {
    /// Open this watch and close any earlier one.
    Open(WatchId),
    /// Close the open watch.
    Close,
}

/// Decides when a relay opens and closes its watch of the key-value service.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    settings: RelaySettings,
    state: State,
    bucket: TokenBucket,
    /// Failures in a row.
    failures: u32,
    /// The watch that was opened last.
    watch: WatchId,
}

impl Relay {
    pub(super) fn new(settings: RelaySettings) -> Self {
        let interval = opening_interval(&settings, 1);
        Self {
            settings,
            state: State::Idle,
            bucket: TokenBucket::new(interval, settings.burst),
            failures: 0,
            watch: WatchId::default(),
        }
    }

    /// True while `watch` is the current watch and open.
    pub(super) fn is_open(&self, watch: WatchId) -> bool {
        self.watch == watch && matches!(self.state, State::Open { .. })
    }

    /// Makes the node a relay or ends its duty; all zones together have `fleet_relays` relays.
    pub(super) fn assign(
        &mut self,
        is_relay: bool,
        fleet_relays: u32,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<RelayStep> {
        let interval = opening_interval(&self.settings, fleet_relays);
        self.bucket.set_interval(interval);
        match (is_relay, self.state) {
            (true, State::Idle) => {
                let wait = self.settings.first_opening_spread.mul_f64(random.random());
                self.state = State::Waiting { until: now + wait };
                None
            }
            (false, State::Open { .. }) => {
                self.state = State::Idle;
                Some(RelayStep::Close)
            }
            (false, _) => {
                self.state = State::Idle;
                None
            }
            (true, _) => None,
        }
    }

    pub(super) fn tick(&mut self, now: Timestamp, random: &mut impl Rng) -> Option<RelayStep> {
        match self.state {
            State::Waiting { until: due } | State::Open { refresh_at: due } if due <= now => {
                self.open(now, random)
            }
            _ => None,
        }
    }

    /// Records that the service answered, which ends a run of failures.
    pub(super) fn record_answer(&mut self) {
        self.failures = 0;
    }

    /// Records that the watch failed. The next one is opened after `retry_after`, which the service
    /// requested, and a backoff.
    pub(super) fn record_failure(
        &mut self,
        retry_after: Duration,
        now: Timestamp,
        random: &mut impl Rng,
    ) {
        let settings = &self.settings;
        let (base, longest) = (settings.backoff, settings.longest_backoff);
        let wait = backoff::wait(base, longest, self.failures, random);
        self.failures += 1;
        let until = now + retry_after + wait;
        self.state = State::Waiting { until };
    }

    fn open(&mut self, now: Timestamp, random: &mut impl Rng) -> Option<RelayStep> {
        if let Err(wait) = self.bucket.take(now) {
            // An open watch stays open until there is a token for its replacement.
            match &mut self.state {
                State::Open { refresh_at } => *refresh_at = now + wait,
                state => *state = State::Waiting { until: now + wait },
            }
            return None;
        }
        let refresh = self.settings.refresh;
        let refresh_at = now + refresh.mul_f64(random.random_range(0.75..1.25));
        self.state = State::Open { refresh_at };
        self.watch.0 += 1;
        Some(RelayStep::Open(self.watch))
    }
}

/// Mean time between two watches that one relay opens, so that all relays keep the fleet's rate.
fn opening_interval(settings: &RelaySettings, fleet_relays: u32) -> Duration {
    let rate = settings.fleet_openings_per_second.max(1);
    Duration::from_secs(1) * fleet_relays.max(1) / rate
}
