//! The planned stop of a process, phase by phase: the node stops being ready, removes its keys from the store, and
//! ends sessions and transactions within the time allowed by the setting `bounds.stop_s`.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::context::StopPhase;
use crate::event::Event;
use crate::gateway::Gateway;

/// Share of the time to stop after which the process ends even if sessions are still open.
const END_SHARE: f64 = 0.85;
/// Share of the time to stop for which open transactions may continue.
const TRANSACTIONS_SHARE: f64 = 0.52;
/// Time for probes to notice that the node isn't ready, and for callers to go to other nodes; connections are
/// accepted until then.
const NOTICED_WITHIN: Duration = Duration::from_millis(2_300);
/// Timeout for removing the node's keys from the store.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause between two checks whether all sessions have ended.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the planned stop. `keys_released` completes once the node's keys are removed from the store; `accepting` is
/// the task that accepts callers.
pub(super) async fn stop(
    gateway: &Rc<Gateway>,
    keys_released: impl Future,
    accepting: tokio::task::JoinHandle<()>,
) {
    let began = Instant::now();
    let time_to_stop = gateway.cx.settings.bounds.stop();
    let end = began + time_to_stop.mul_f64(END_SHARE);
    let transactions_end = began + time_to_stop.mul_f64(TRANSACTIONS_SHARE);
    gateway.cx.events.write(&Event::Stopping {
        sessions: gateway.sessions.open_count(),
    });
    gateway.cx.stop.enter(StopPhase::Leaving);
    // If the store doesn't answer in time, the leases lapse by themselves and the store removes the keys.
    let _ = tokio::time::timeout(LEAVE_TIMEOUT, keys_released).await;
    tokio::time::sleep_until((began + NOTICED_WITHIN).min(transactions_end)).await;
    accepting.abort();
    gateway.cx.stop.enter(StopPhase::ClosingSessions);
    wait_for_sessions(gateway, transactions_end).await;
    gateway.cx.stop.enter(StopPhase::EndingTransactions);
    wait_for_sessions(gateway, end).await;
    gateway.log_counters();
    gateway.cx.events.write(&Event::Traffic {
        sent_bytes: gateway.fleet.traffic.by_node(),
    });
    gateway.cx.events.write(&Event::Stopped {
        sessions: gateway.sessions.open_count(),
    });
}

/// Waits until all sessions and calls from other nodes have ended, or until `until`.
async fn wait_for_sessions(gateway: &Rc<Gateway>, until: Instant) {
    while gateway.sessions.open_count() + gateway.fleet.calls.get() > 0 && Instant::now() < until {
        tokio::time::sleep(SESSION_CHECK_INTERVAL).await;
    }
}
