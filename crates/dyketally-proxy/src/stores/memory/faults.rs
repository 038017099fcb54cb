//! The faults that the stand-in shows on demand.

use std::time::Duration;

use dyketally::time::Timestamp;
use serde::{Deserialize, Serialize};

/// Whether the stand-in answers at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It refuses each request at once and ends watches.
    Refuse,
    /// It takes requests and never answers; watches fall silent.
    Hang,
}

/// A bound on the rate of requests: a token bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Requests per second in the long run; at least 1.
    pub requests_per_second: u32,
    /// Requests at once after a pause; at least 1.
    pub burst: u32,
}

/// The faults in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// Whether the stand-in answers at all.
    pub outage: Outage,
    /// Time that each request waits before it is carried out, in milliseconds.
    pub delay_milliseconds: u64,
    /// The bound on the rate of requests.
    pub rate_limit: Option<RateLimit>,
    /// So many of the next changes take effect without a reply.
    pub lost_replies: u32,
}

impl FaultPlan {
    /// Time that each request waits before it is carried out.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_milliseconds)
    }
}

/// Tokens left of a [`RateLimit`], counted in millionths so that no fraction is lost.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TokenCount {
    millionths: u64,
    refilled_at: Timestamp,
}

const ONE_TOKEN: u64 = 1_000_000;

impl TokenCount {
    pub(super) fn full(limit: RateLimit, now: Timestamp) -> Self {
        Self {
            millionths: u64::from(limit.burst) * ONE_TOKEN,
            refilled_at: now,
        }
    }

    /// Takes one token, or tells how long to wait for it.
    pub(super) fn take(&mut self, limit: RateLimit, now: Timestamp) -> Result<(), Duration> {
        let rate = u64::from(limit.requests_per_second.max(1));
        let elapsed = now.saturating_since(self.refilled_at).as_micros() as u64;
        let most = u64::from(limit.burst) * ONE_TOKEN;
        self.millionths = (self.millionths + elapsed.saturating_mul(rate)).min(most);
        self.refilled_at = now;
        if self.millionths >= ONE_TOKEN {
            self.millionths -= ONE_TOKEN;
            return Ok(());
        }
        let missing = ONE_TOKEN - self.millionths;
        Err(Duration::from_micros(missing.div_ceil(rate)))
    }
}
