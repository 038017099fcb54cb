//! Administration over HTTP: health, metrics and status.
//!
//! | path       | answer |
//! |------------|--------|
//! | `/healthz` | 200 while the process answers at all |
//! | `/readyz`  | 200 while the node takes new callers, else 503 with the reason |
//! | `/metrics` | counters and gauges in the Prometheus text format |
//! | `/status`  | [`NodeStatus`] as JSON |

mod metrics;
mod server;
mod status;
mod status_metrics;

pub use metrics::{Label, Metrics};
pub use server::{router, serve};
pub use status::{
    CallerStatus, HomeStatus, NodeEntry, NodeState, NodeStatus, PrimaryStatus, Readiness,
    StatusSource, TenantQueue,
};
