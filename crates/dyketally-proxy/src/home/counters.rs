//! Counters of one home.

use std::sync::atomic::{AtomicU64, Ordering};

use dyketally_protocol::Completion;

/// A number that only grows.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! home_counters {
    ($($(#[$documentation:meta])* $name:ident,)*) => {
        /// Counters of one home, since it started.
        #[derive(Debug, Default)]
        pub struct HomeCounters {
            $($(#[$documentation])* pub $name: Counter,)*
        }

        impl HomeCounters {
            /// Every counter by name.
            pub fn values(&self) -> impl Iterator<Item = CounterValue> {
                [$(CounterValue { name: stringify!($name), value: self.$name.get() },)*].into_iter()
            }
        }
    };
}

/// One counter's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CounterValue {
    /// The counter's name.
    pub name: &'static str,
    /// Its value.
    pub value: u64,
}

impl HomeCounters {
    /// Counts a request that is over.
    pub fn count(&self, completion: &Completion) {
        match completion {
            Completion::Done { .. } => self.done.increment(),
            Completion::NotRun { .. } => self.not_run.increment(),
            Completion::Unknown { .. } => self.unknown.increment(),
            Completion::Redirect { .. } => self.redirected.increment(),
            Completion::RolledBack => self.rolled_back.increment(),
        }
    }
}

home_counters! {
    /// Requests taken.
    requests,
    /// Requests that a database has run and answered.
    done,
    /// Requests that were not run.
    not_run,
    /// Requests of unknown outcome.
    unknown,
    /// Requests sent on to another database.
    redirected,
    /// Requests whose transaction had been rolled back.
    rolled_back,
    /// Reads run on a replica.
    replica_reads,
    /// Reads run on the primary.
    primary_reads,
    /// Writes confirmed by the group.
    writes_confirmed,
    /// Writes that the group did not confirm.
    writes_not_confirmed,
    /// Recorded requests of unclear outcome that were found to have been run.
    resolved_done,
    /// Recorded requests of unclear outcome that were found not to have been run.
    resolved_not_run,
    /// Recorded requests refused because the ledger table takes no entry.
    ledger_refusals,
    /// Cancel requests sent to the database.
    cancels,
    /// Transactions rolled back because their session ended or left them idle too long.
    transactions_abandoned,
}
