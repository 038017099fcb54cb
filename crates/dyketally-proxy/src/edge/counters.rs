//! Counters of an edge.

use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};

macro_rules! counters {
    ($($(#[$documentation:meta])* $name:ident),* $(,)?) => {
        /// Counters of an edge, updated by all its sessions.
        #[derive(Debug, Default)]
        pub struct EdgeCounters {
            $($(#[$documentation])* pub $name: AtomicU64,)*
        }

        /// Values of [`EdgeCounters`] at one time.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
        pub struct EdgeCounts {
            $($(#[$documentation])* pub $name: u64,)*
        }

        impl EdgeCounters {
            /// The values now.
            pub fn read(&self) -> EdgeCounts {
                EdgeCounts {
                    $($name: self.$name.load(Ordering::Relaxed),)*
                }
            }
        }
    };
}

counters! {
    /// Callers that are connected now.
    callers,
    /// Callers with an open transaction now.
    in_transaction,
    /// Callers accepted since the start.
    callers_accepted,
    /// Callers refused: too many, unknown tenant or database, malformed token.
    callers_refused,
    /// Connections ended because their bytes were not of the protocol or too long.
    protocol_violations,
    /// Batches received.
    batches,
    /// Batches that no rule classifies or that use what isn't supported.
    batches_refused,
    /// Batches that ended as done.
    done,
    /// Batches that were not run.
    not_run,
    /// Batches of unknown outcome.
    unknown,
    /// Batches whose transaction was rolled back.
    rolled_back,
    /// Batches that only read.
    reads,
    /// Cancel requests.
    cancel_requests,
}

/// Adds one to `counter`.
pub(super) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
