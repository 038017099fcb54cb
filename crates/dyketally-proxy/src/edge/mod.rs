//! The edge: terminates callers, classifies their statements and sends them to homes.
//!
//! A request passes these layers, outermost first: deadline, retry, route, send.

mod answer;
mod batch;
mod cancel;
mod codec;
mod control;
mod counters;
mod deadline;
mod layered;
mod listener;
mod request;
mod retry;
mod route;
mod send;
mod session;
mod session_state;
mod startup;
mod writer;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use dyketally::identifiers::{Locality, NodeName};
use dyketally::policy::PolicySet;
use dyketally::retry::{Retrier, RetrySettings};
use dyketally::routing::{RouteSettings, RouteTable};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tower::ServiceBuilder;

pub use cancel::CancelRegistry;
pub use codec::{CallerCodec, CallerError, Phase};
pub use counters::{EdgeCounters, EdgeCounts};
pub use deadline::{Deadline, DeadlineLayer};
pub use layered::{Layered, RunRequest};
pub use listener::serve_callers;
pub use request::{PinnedTransaction, ReplyStart, RoutedRequest, StatementReply, StatementRequest};
pub use retry::RetryLayer;
pub use route::{RouteLayer, SharedRoutes};
pub use send::{SendToHome, completion_of};

use crate::homes::Homes;

/// The request path of an edge.
pub type RequestPath = Deadline<Layered<RetryLayer, Layered<RouteLayer, SendToHome>>>;

/// Bounds on what callers may ask of an edge.
#[derive(Clone, Copy, Debug)]
pub struct EdgeLimits {
    /// Longest message of a caller, in bytes.
    pub longest_message: usize,
    /// Callers connected at one time.
    pub callers_at_most: usize,
}

/// The steps of a planned stop that callers notice.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
    /// Cancelled when callers are turned away: at their next statement, between transactions.
    pub turning_away: CancellationToken,
    /// Cancelled when connections of callers that have nothing in flight are closed.
    pub closing_idle: CancellationToken,
}

/// What all sessions of an edge share.
#[derive(Clone, Debug)]
pub struct Edge {
    /// This node.
    pub node: NodeName,
    /// Number of this process among all that ran under this name.
    pub incarnation: u64,
    /// The configuration in force.
    pub policies: watch::Receiver<Arc<PolicySet>>,
    /// The way to the homes.
    pub homes: Arc<Homes>,
    /// The request path.
    pub path: RequestPath,
    /// Cancel requests.
    pub cancels: CancelRegistry,
    /// Bounds.
    pub limits: EdgeLimits,
    /// Counters.
    pub counters: Arc<EdgeCounters>,
    /// Number of the next session.
    pub sessions: Arc<AtomicU64>,
    /// How far the node's planned stop has come, as callers notice it.
    pub leaving: Leaving,
}

impl Edge {
    /// A session number that this process has not used yet.
    fn next_session(&self) -> u64 {
        self.sessions.fetch_add(1, Ordering::Relaxed)
    }
}

/// Builds the request path of an edge at `locality`.
pub fn request_path(locality: Locality, homes: Arc<Homes>) -> RequestPath {
    let routes = SharedRoutes::new(locality, RouteTable::new(RouteSettings::default()));
    ServiceBuilder::new()
        .layer(DeadlineLayer)
        .layer(RetryLayer::new(Retrier::new(RetrySettings::default())))
        .layer(RouteLayer::new(routes))
        .service(SendToHome::new(homes))
}
