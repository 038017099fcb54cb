//! The planned stop, phase by phase: the node stops being ready, gives back its keys, and ends sessions
//! and transactions before the time to stop is over.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::context::StopPhase;
use crate::event::Event;
use crate::gateway::Gateway;

/// Share of the time to stop after which the process ends whatever is open.
const STOP_SHARE: f64 = 0.85;
/// Share of the time to stop that open transactions get.
const TRANSACTIONS_SHARE: f64 = 0.52;
/// How long probes take to notice that the node isn't ready, and callers to go elsewhere.
const NOTICED_AFTER: Duration = Duration::from_millis(2_300);
/// How long giving back the node's keys may take.
const LEAVE_LIMIT: Duration = Duration::from_millis(500);
/// Pause between two looks whether all sessions have ended.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Stops as planned. `left` ends once the node's keys are given back.
pub(super) async fn stop(
    gateway: &Rc<Gateway>,
    left: impl Future,
    accepting: tokio::task::JoinHandle<()>,
) {
    let began = Instant::now();
    let bound = gateway.cx.settings.bounds.stop();
    let last = began + bound.mul_f64(STOP_SHARE);
    let transactions = began + bound.mul_f64(TRANSACTIONS_SHARE);
    gateway.cx.events.write(&Event::Stopping {
        sessions: gateway.sessions.open(),
    });
    gateway.cx.stop.enter(StopPhase::Leaving);
    // The leases run out by themselves if the store doesn't answer.
    let _ = tokio::time::timeout(LEAVE_LIMIT, left).await;
    tokio::time::sleep_until((began + NOTICED_AFTER).min(transactions)).await;
    accepting.abort();
    gateway.cx.stop.enter(StopPhase::ClosingSessions);
    wait_for_sessions(gateway, transactions).await;
    gateway.cx.stop.enter(StopPhase::EndingTransactions);
    wait_for_sessions(gateway, last).await;
    gateway.tell_counters();
    gateway.cx.events.write(&Event::Traffic {
        sent_bytes: gateway.fleet.traffic.by_node(),
    });
    gateway.cx.events.write(&Event::Stopped {
        sessions: gateway.sessions.open(),
    });
}

async fn wait_for_sessions(gateway: &Rc<Gateway>, until: Instant) {
    while gateway.sessions.open() + gateway.fleet.calls.get() > 0 && Instant::now() < until {
        tokio::time::sleep(STOP_LOOK).await;
    }
}
