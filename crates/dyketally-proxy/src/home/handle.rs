//! The handle of a home, and the tasks behind it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use dyketally::identifiers::{DatabaseName, SessionId};
use dyketally::policy::PolicySet;
use futures::FutureExt;
use tokio::sync::watch;
use tokio::time::{Instant, interval, timeout_at};
use tokio_util::sync::CancellationToken;

use super::counters::HomeCounters;
use super::serve::serve;
use super::shared::{AddressRoutes, HomeOptions, HomeShared, HomeStatus};
use crate::clock::now;
use crate::reply::HomeRequest;

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Starts homes.
#[derive(Debug)]
pub struct Home;

/// A running home. Its tasks end when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct HomeHandle {
    shared: Arc<HomeShared>,
    _stop: Arc<StopGuard>,
}

/// Ends the tasks of a home when it is dropped.
#[derive(Debug)]
struct StopGuard(CancellationToken);

impl Drop for StopGuard {
    fn drop(&mut self) {
        self.0.cancel();
    }
}

impl Home {
    /// Starts the home of `database`. Must be called within a tokio runtime.
    pub fn start(
        database: DatabaseName,
        policies: watch::Receiver<Arc<PolicySet>>,
        routes: AddressRoutes,
        options: HomeOptions,
    ) -> HomeHandle {
        let stop = CancellationToken::new();
        let shared = HomeShared::new(database, policies, routes, options, stop.clone());
        let shared = Arc::new(shared);
        let run = |task| tokio::spawn(stop.clone().run_until_cancelled_owned(task));
        run(keep_policies(Arc::clone(&shared)).boxed());
        run(sweep(Arc::clone(&shared)).boxed());
        run(Arc::clone(&shared.dispatcher).keep().boxed());
        run(Arc::clone(&shared.monitor).keep().boxed());
        HomeHandle {
            shared,
            _stop: Arc::new(StopGuard(stop)),
        }
    }
}

impl HomeHandle {
    /// Runs a request. Its reply channel gets the answer.
    pub fn submit(&self, request: HomeRequest) {
        self.shared.note_request();
        let arrival = self.shared.next_arrival();
        let execute = &request.execute;
        let stale = {
            let mut sessions = self.shared.sessions();
            sessions.arrived(&execute.session, execute.transaction)
        };
        if stale.is_some() {
            self.shared.counters.transactions_abandoned.increment();
        }
        drop(stale);
        self.shared.counters.requests.increment();
        let shared = Arc::clone(&self.shared);
        self.shared.tasks.spawn(serve(shared, request, arrival));
    }

    /// The session is over: its transaction is rolled back and its connection released.
    pub fn end_session(&self, session: &SessionId) {
        let pin = self.shared.sessions().end(session);
        if pin.is_some() {
            self.shared.counters.transactions_abandoned.increment();
        }
    }

    /// Refuses new work, and waits until the work in flight and the open transactions have ended
    /// or `deadline` passes. Returns the requests and transactions that were cut off.
    pub async fn drain(&self, deadline: Instant) -> usize {
        self.shared.draining.store(true, Ordering::Relaxed);
        // What is left at the deadline is counted below.
        let _ = timeout_at(deadline, self.shared.wait_until_empty()).await;
        self.shared.tasks.len() + self.shared.sessions().pins()
    }

    /// The database is leaving, or takes work again: while it leaves, new work is refused.
    pub fn set_database_leaving(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::Relaxed);
        self.shared.dispatcher.set_leaving(leaving);
    }

    /// The home as `/status` shows it.
    pub fn status(&self) -> HomeStatus {
        self.shared.status()
    }

    /// The home's counters.
    pub fn counters(&self) -> &HomeCounters {
        &self.shared.counters
    }
}

async fn keep_policies(shared: Arc<HomeShared>) {
    let mut policies = shared.policies.clone();
    policies.mark_changed();
    while policies.changed().await.is_ok() {
        policies.mark_unchanged();
        shared.apply_policies();
    }
}

async fn sweep(shared: Arc<HomeShared>) {
    let mut ticks = interval(SWEEP_INTERVAL);
    loop {
        ticks.tick().await;
        let limit = shared.options.idle_transaction_limit;
        let expired = shared.sessions().expire(now(), limit);
        for _pin in expired {
            shared.counters.transactions_abandoned.increment();
        }
        shared.rest_if_unused();
    }
}
