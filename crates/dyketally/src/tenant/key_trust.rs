//! Whether a node may still act on the keys that it knows.
//!
//! Keys are taken away by a configuration, and a node that is out of touch doesn't hear of it. It may
//! serve on by the configuration that it has, or refuse what needs a key once that configuration was
//! confirmed too long ago.

use std::time::Duration;

use crate::time::Timestamp;

/// Share of the bound that is left for what is under way when trust ends: an operation that was
/// admitted may still wait for a connection.
const UNDER_WAY_SHARE: f64 = 0.3;
/// Share of the time that keys are trusted between two confirmations at each step of their way to a
/// node. A relay's watch of the store may be two such pauses old, and the node's question to the relay
/// one more, so that one of them may be lost.
const CONFIRMATION_SHARE: f64 = 0.2;

/// What becomes of operations that need a key while it may have been taken away unnoticed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyPolicy {
    /// They are served by the keys that were known last.
    #[default]
    Serve,
    /// They are refused.
    Refuse {
        /// Longest time from a key's removal to the last operation that is served with it.
        bound: Duration,
    },
}

impl KeyPolicy {
    /// How long keys are trusted after they were confirmed; `None` for ever.
    pub fn trusted_for(self) -> Option<Duration> {
        match self {
            KeyPolicy::Serve => None,
            KeyPolicy::Refuse { bound } => Some(bound.mul_f64(1.0 - UNDER_WAY_SHARE)),
        }
    }

    /// Longest pause between two confirmations; `None` where none are needed.
    pub fn confirmed_each(self) -> Option<Duration> {
        let trusted = self.trusted_for()?;
        Some(trusted.mul_f64(CONFIRMATION_SHARE))
    }
}

/// How current the keys are that a node knows.
#[derive(Clone, Copy, Debug)]
pub struct KeyTrust {
    policy: KeyPolicy,
    /// The configuration that the node has was the newest one at this time.
    confirmed: Option<Timestamp>,
}

impl KeyTrust {
    /// Nothing is confirmed yet.
    pub fn new(policy: KeyPolicy) -> Self {
        Self {
            policy,
            confirmed: None,
        }
    }

    /// Records that the configuration which the node has was the newest one at `at`.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records that another node, asked at `asked`, has passed on everything that was the newest
    /// `age` before. It says nothing if that lies before the start of this node's clock.
    pub fn confirm_relayed(&mut self, asked: Timestamp, age: Duration) {
        if asked.saturating_since(Timestamp::ZERO) >= age {
            self.confirm(asked - age);
        }
    }

    /// How long ago the keys were confirmed last; `None` while they never were.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        let confirmed = self.confirmed?;
        Some(now.saturating_since(confirmed))
    }

    /// True while operations that need a key may be served.
    pub fn holds(&self, now: Timestamp) -> bool {
        match self.policy.trusted_for() {
            None => true,
            Some(limit) => self.age(now).is_some_and(|age| age < limit),
        }
    }
}
