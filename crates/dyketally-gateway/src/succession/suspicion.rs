//! Probes primaries that fail this node, and reports those that don't answer to the failover coordinator.
//!
//! The coordinator keeps the reported suspicions in
//! [`CoordinatorState`](crate::fleet::coordinator::CoordinatorState). Relies on the fleet for messages to the
//! coordinator, and for nodes that forward connections.

use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::Evidence;
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::statement::FailureKind;
use tokio::time::Instant;

use crate::context::Context;
use crate::database::Databases;
use crate::database::connection::{Destination, OpenError, Route};
use crate::database::target::Target;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::access::DatabaseAccess;
use crate::fleet::message::PeerMessage;
use crate::ports::DatabaseUser;

/// Time limit of a probe.
pub const PROBE_LIMIT: Duration = Duration::from_millis(300);
/// How long the result of a failed probe is reused instead of a new probe.
const EVIDENCE_VALIDITY: Duration = Duration::from_millis(400);
/// Pause between two probes of a primary that doesn't answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Most probes of a primary in a row.
const MAX_PROBES: u32 = 40;

/// Probes primaries that fail this node.
pub struct Suspicions {
    cx: Rc<Context>,
    databases: Rc<Databases>,
    fleet: Rc<Fleet>,
    access: Rc<DatabaseAccess>,
}

impl Suspicions {
    /// Creates the prober; no primary is suspected yet.
    pub fn new(access: Rc<DatabaseAccess>) -> Rc<Self> {
        Rc::new(Self {
            cx: access.fleet.cx.clone(),
            databases: access.databases.clone(),
            fleet: access.fleet.clone(),
            access,
        })
    }

    /// Searches for a node that reaches `target`, and has it forward this node's connections to it.
    pub fn find_forwarder(&self, target: &Target) {
        self.access.find_forwarder(target);
    }

    /// Whether this node reaches `database`; `None` when it knows no such database in `group`.
    pub async fn evidence(&self, group: &GroupName, database: &DatabaseName) -> Option<Evidence> {
        let target = self.databases.known_target(database)?;
        match &target.group == group {
            true => Some(self.evidence_of(&target).await),
            false => None,
        }
    }

    /// Whether this node reaches a database, by a probe that failed within [`EVIDENCE_VALIDITY`] or by a new one.
    pub async fn evidence_of(&self, target: &Target) -> Evidence {
        match target.state.recent_failure(EVIDENCE_VALIDITY) {
            Some(evidence) => evidence,
            None => self.probe(target).await,
        }
    }

    /// Probes a database on a new, direct connection. An answer that arrives meanwhile on another direct
    /// connection counts as well, as a busy database may be slow to open connections.
    async fn probe(&self, target: &Target) -> Evidence {
        let began = Instant::now();
        let to = Destination {
            group: &target.group,
            database: &target.name,
        };
        let route = Route::Direct(target.state.pool.address());
        let connector = &self.databases.connector;
        let opening = connector.open(route, to, DatabaseUser::Gateway, PROBE_LIMIT);
        let probed = match opening.await {
            Ok(_) => Evidence::Answered,
            Err(OpenError::TurnedAway(failure)) if failure.kind != FailureKind::WrongDatabase => {
                Evidence::Answered
            }
            Err(OpenError::Refused | OpenError::TurnedAway(_)) => Evidence::Refused,
            Err(OpenError::Silent) => Evidence::Silent,
        };
        let forwarded = target.state.pool.is_forwarded();
        let evidence = match !forwarded && target.state.answered_since(began) {
            true => Evidence::Answered,
            false => probed,
        };
        target.state.record_probe(evidence);
        evidence
    }

    /// Probes `target` in the background if it is a primary, and reports it for as long as it doesn't answer.
    pub fn suspect(self: &Rc<Self>, target: &Target) {
        if !self.databases.is_primary(target) || target.state.probe_running.replace(true) {
            return;
        }
        let suspicions = self.clone();
        let target = target.clone();
        tokio::task::spawn_local(async move {
            suspicions.probe_until_answered(&target).await;
            target.state.probe_running.set(false);
        });
    }

    async fn probe_until_answered(&self, target: &Target) {
        for _ in 0..MAX_PROBES {
            let evidence = self.probe(target).await;
            if evidence == Evidence::Answered || !self.databases.is_primary(target) {
                target.state.pool.reach_directly();
                return;
            }
            if evidence == Evidence::Silent {
                self.find_forwarder(target);
            }
            self.cx.events.write(&Event::PrimarySuspected {
                group: target.group.as_str(),
                database: target.name.as_str(),
                evidence: format!("{evidence:?}"),
            });
            self.report(target);
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Reports to the coordinator that `target` doesn't answer; to all nodes of a small fleet while no coordinator is
    /// known. In a large one the report is repeated until there is a coordinator.
    pub fn report(&self, target: &Target) {
        if self.fleet.coordinator.last_term().is_some() {
            self.record(target.group.clone(), target.name.clone());
            return;
        }
        let message = PeerMessage::Suspect {
            group: target.group.clone(),
            database: target.name.clone(),
        };
        let peers = self.fleet.peers.borrow();
        let Some(peers) = peers.as_ref() else {
            return;
        };
        match self.fleet.coordinator.address() {
            Some(coordinator) => peers.send(coordinator, &message),
            None if self.fleet.membership.is_meshed() => peers.broadcast(&message),
            None => {}
        }
    }

    /// Records that a node suspects a primary, for the coordinator to act on.
    pub fn record(&self, group: GroupName, database: DatabaseName) {
        let mut suspicions = self.fleet.coordinator.suspicions.borrow_mut();
        suspicions
            .entry((group, database))
            .or_insert_with(Instant::now);
        drop(suspicions);
        self.fleet.coordinator.attention.notify_one();
    }
}
