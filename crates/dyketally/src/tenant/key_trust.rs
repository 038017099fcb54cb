//! Decides whether a node may still serve operations by the keys in its configuration.
//!
//! A new configuration may remove keys, and a node that is out of contact doesn't receive it. Such a
//! node either goes on serving by the configuration that it has, or refuses operations that need a key
//! once the last confirmation of its configuration is too old.

use std::time::Duration;

use crate::time::Timestamp;

/// Share of the bound that is reserved for operations in progress when trust in the keys ends: an
/// admitted operation may still wait for a connection.
const IN_PROGRESS_SHARE: f64 = 0.3;
/// Interval between two confirmations, as a share of the time for which keys are trusted. It applies
/// both between the store and a relay and between a relay and a node. A relay's watch of the store may
/// be two intervals old and a node's request to the relay one interval, so one confirmation may be lost.
const CONFIRMATION_SHARE: f64 = 0.2;

/// What a node does with operations that need a key when the key may have been removed without the
/// node's knowledge.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum KeyPolicy {
    /// The node serves the operations by the keys it knows.
    #[default]
    Serve,
    /// The node refuses the operations.
    Refuse {
        /// Longest time from a key's removal to the last operation that is served with it.
        bound: Duration,
    },
}

impl KeyPolicy {
    /// How long keys are trusted after a confirmation; `None` if without limit.
    pub fn trusted_for(self) -> Option<Duration> {
        match self {
            KeyPolicy::Serve => None,
            KeyPolicy::Refuse { bound } => Some(bound.mul_f64(1.0 - IN_PROGRESS_SHARE)),
        }
    }

    /// Longest interval between two confirmations; `None` if none are needed.
    pub fn confirmed_each(self) -> Option<Duration> {
        let trusted = self.trusted_for()?;
        Some(trusted.mul_f64(CONFIRMATION_SHARE))
    }
}

/// Tracks when a node's keys were last confirmed to be current.
#[derive(Clone, Copy, Debug)]
pub struct KeyTrust {
    policy: KeyPolicy,
    /// The latest time at which the node's configuration is known to have been the newest one.
    confirmed: Option<Timestamp>,
}

impl KeyTrust {
    /// The state of a node whose keys have not been confirmed.
    pub fn new(policy: KeyPolicy) -> Self {
        Self {
            policy,
            confirmed: None,
        }
    }

    /// Records that the node's configuration was the newest one at `at`.
    pub fn confirm(&mut self, at: Timestamp) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records a confirmation by another node. This node sent its request at `requested_at`; the other
    /// node's own confirmation was `age` old, and it has sent all its newer configuration. The
    /// confirmation is ignored if it dates from before the start of this node's clock.
    pub fn confirm_relayed(&mut self, requested_at: Timestamp, age: Duration) {
        if requested_at.saturating_since(Timestamp::ZERO) >= age {
            self.confirm(requested_at - age);
        }
    }

    /// Time since the keys were last confirmed; `None` if they never were.
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
