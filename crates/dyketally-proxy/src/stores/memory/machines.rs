//! The machine list in memory, with a lag.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use dyketally::time::Timestamp;

use crate::clock;
use crate::stores::machine_list::{MachineList, MachineListError, Machines};

#[derive(Debug, Default)]
struct Inner {
    /// Lists with the time at which they became true, oldest first.
    lists: VecDeque<DatedList>,
    lag: Duration,
    available: bool,
}

#[derive(Clone, Debug)]
struct DatedList {
    since: Timestamp,
    machines: Machines,
}

/// A machine list in memory that tells the truth of some time ago. Clones share one list.
#[derive(Clone, Debug)]
pub struct MemoryMachineList {
    inner: Arc<Mutex<Inner>>,
}

impl MemoryMachineList {
    /// A list that is true from the start.
    pub fn new(machines: Machines) -> Self {
        let initial = DatedList {
            since: Timestamp::ZERO,
            machines,
        };
        let inner = Inner {
            lists: VecDeque::from([initial]),
            lag: Duration::ZERO,
            available: true,
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Replaces the truth; it is told after the lag.
    pub fn set_machines(&self, machines: Machines) {
        let since = clock::now();
        let mut inner = self.lock();
        inner.lists.push_back(DatedList { since, machines });
    }

    /// Sets how old the list is that is told.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Sets whether the list answers.
    pub fn set_available(&self, available: bool) {
        self.lock().available = available;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl MachineList for MemoryMachineList {
    async fn machines(&self) -> Result<Machines, MachineListError> {
        let inner = self.lock();
        if !inner.available {
            return Err(MachineListError::Unavailable {
                reason: "an outage".into(),
            });
        }
        let told_at = clock::now() - inner.lag;
        let told = inner.lists.iter().rfind(|list| list.since <= told_at);
        let machines = told
            .or(inner.lists.front())
            .map(|list| list.machines.clone());
        Ok(machines.unwrap_or_default())
    }
}
