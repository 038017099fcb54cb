//! Whether and when a node reads the key-value service: it does so only as a relay of its zone.

use std::time::Duration;

use rand::Rng;

use super::backoff;
use super::token_bucket::TokenBucket;
use crate::time::Timestamp;

/// How relays read the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelaySettings {
    /// Watches that all relays together open per second. Each costs two requests, and one more for
    /// each page of documents when too many changes are missing.
    pub fleet_openings_per_second: u32,
    /// Watches that one relay may open at once after a pause.
    pub burst: u32,
    /// Wait after the first failure; doubles with each one in a row.
    pub backoff: Duration,
    /// Bound of the wait.
    pub longest_backoff: Duration,
    /// A new relay waits a random part of this before its first opening, so that nodes which start
    /// together and don't know each other yet don't all turn to the service.
    pub first_opening_spread: Duration,
    /// A watch is opened anew after this time, in case it has fallen silent unnoticed.
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

/// Numbers the watches of one node; reports of an earlier watch are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WatchId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Other nodes are the relays.
    Idle,
    /// The next opening is due then.
    Waiting { until: Timestamp },
    /// A watch is open, or being opened.
    Open { refresh_at: Timestamp },
}

/// What the relay's driver has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RelayStep {
    /// Open this watch in place of any other.
    Open(WatchId),
    /// Close the watch.
    Close,
}

/// Decides when a relay reads the service.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    settings: RelaySettings,
    state: State,
    bucket: TokenBucket,
    failures: u32,
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

    /// True while `watch` is the one in use.
    pub(super) fn is_open(&self, watch: WatchId) -> bool {
        self.watch == watch && matches!(self.state, State::Open { .. })
    }

    /// Becomes or ceases to be one of `fleet_relays` relays.
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

    /// The watch has reported; the service answers.
    pub(super) fn answered(&mut self) {
        self.failures = 0;
    }

    /// The watch is lost; the service asks for a wait of `retry_after`.
    pub(super) fn failed(&mut self, retry_after: Duration, now: Timestamp, random: &mut impl Rng) {
        let settings = &self.settings;
        let (base, longest) = (settings.backoff, settings.longest_backoff);
        let wait = backoff::wait(base, longest, self.failures, random);
        self.failures += 1;
        let until = now + retry_after + wait;
        self.state = State::Waiting { until };
    }

    fn open(&mut self, now: Timestamp, random: &mut impl Rng) -> Option<RelayStep> {
        if let Err(wait) = self.bucket.take(now) {
            // A watch that is open stays open until there is a token to open it anew.
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

/// Time between two openings by one relay in the long run.
fn opening_interval(settings: &RelaySettings, fleet_relays: u32) -> Duration {
    let rate = settings.fleet_openings_per_second.max(1);
    Duration::from_secs(1) * fleet_relays.max(1) / rate
}
