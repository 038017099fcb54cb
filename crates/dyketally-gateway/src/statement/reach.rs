//! How long statements wait for a primary that can't be used.
//!
//! While a primary is being replaced it is best to wait: that takes a second or so. One that can't be
//! used for longer may well be used by other nodes, which callers reach when they come back; so from
//! then on a statement is refused as soon as its attempt has failed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::GroupName;
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::statement::write::RETRY_PAUSE;

/// How long a primary is waited for, from the first attempt that found none: replacing one takes 0.4 to
/// 0.8 s as a rule (0046), and a promotion up to 0.6 s of that.
const REPLACED_WITHIN: Duration = Duration::from_millis(1_500);
/// Attempts that lie further apart don't belong to one loss.
const ONE_LOSS: Duration = Duration::from_secs(1);
/// How long a statement waits for a primary that is out of reach.
const SHORT_WAIT: Duration = Duration::from_millis(50);

/// Since when a group has had no primary that this node can use.
#[derive(Debug, Default)]
pub struct Unled {
    /// The first and the last attempt that found none.
    attempts: Cell<Option<(Instant, Instant)>>,
}

impl Unled {
    /// Takes in that an attempt found no primary that can be used.
    pub fn missed(&self) {
        let now = Instant::now();
        let first = match self.attempts.get() {
            Some((first, last)) if last.elapsed() < ONE_LOSS => first,
            Some(_) | None => now,
        };
        self.attempts.set(Some((first, now)));
    }

    /// Takes in that the primary answered.
    pub fn answered(&self) {
        self.attempts.set(None);
    }

    /// Until when a primary is waited for, by `latest` at the latest.
    pub fn wait_until(&self, latest: Instant) -> Instant {
        let now = Instant::now();
        let until = match self.attempts.get() {
            Some((first, last)) if last.elapsed() < ONE_LOSS => {
                (first + REPLACED_WITHIN).max(now + SHORT_WAIT)
            }
            Some(_) | None => now + REPLACED_WITHIN,
        };
        until.min(latest)
    }

    /// True when statements shouldn't wait for the primary any longer.
    pub fn is_out_of_reach(&self) -> bool {
        self.attempts.get().is_some_and(|(first, last)| {
            last.elapsed() < ONE_LOSS && first.elapsed() >= REPLACED_WITHIN
        })
    }
}

impl Gateway {
    /// Takes in that an attempt at `group` failed. True when the group has had no primary that this
    /// node can use for so long that statements which need one should be refused.
    pub fn is_unled(self: &Rc<Self>, group: &GroupName) -> bool {
        let primary = self.primary_target(group);
        if primary.is_some_and(|primary| !primary.state.is_suspended()) {
            return false;
        }
        let state = self.group(group);
        state.unled.missed();
        state.unled.is_out_of_reach()
    }
}

const _: () = assert!(RETRY_PAUSE.as_millis() * 2 <= SHORT_WAIT.as_millis());
