//! Suspects primaries that fail this node, probes them, and reports them to the failover coordinator.
//!
//! The suspicions themselves are kept with the record of the coordinator. Relies on the fleet to reach the
//! coordinator and for nodes that forward connections.

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

/// Longest time that a probe may take. Not measured.
pub const PROBE_LIMIT: Duration = Duration::from_millis(300);
/// How long a probe that failed answers further questions. Not measured.
const EVIDENCE_HOLDS: Duration = Duration::from_millis(400);
/// Pause between two probes of a primary that doesn't answer. Not measured.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Probes in a row. Not measured.
const PROBES_AT_MOST: u32 = 40;

/// Probes primaries that fail this node.
pub struct Suspicions {
    cx: Rc<Context>,
    databases: Rc<Databases>,
    fleet: Rc<Fleet>,
    access: Rc<DatabaseAccess>,
}

impl Suspicions {
    /// No primary is suspected yet.
    pub fn new(access: Rc<DatabaseAccess>) -> Rc<Self> {
        Rc::new(Self {
            cx: access.fleet.cx.clone(),
            databases: access.databases.clone(),
            fleet: access.fleet.clone(),
            access,
        })
    }

    /// Has other nodes forward connections to `target`.
    pub fn find_forwarder(&self, target: &Target) {
        self.access.find_forwarder(target);
    }

    /// What this node sees of a database of `group`; `None` when it doesn't know it.
    pub async fn evidence(&self, group: &GroupName, database: &DatabaseName) -> Option<Evidence> {
        let target = self.databases.known_target(database)?;
        match &target.group == group {
            true => Some(self.evidence_of(&target).await),
            false => None,
        }
    }

    /// What this node sees of a database: as it has just found out, or by a new probe.
    pub async fn evidence_of(&self, target: &Target) -> Evidence {
        match target.state.recent_failure(EVIDENCE_HOLDS) {
            Some(evidence) => evidence,
            None => self.probe(target).await,
        }
    }

    /// Probes a database on a new connection of its own. An answer to anything else that comes meanwhile
    /// counts as well, as a busy database may be slow to open connections.
    async fn probe(&self, target: &Target) -> Evidence {
        let began = Instant::now();
        let to = Destination {
            group: &target.group,
            database: &target.name,
        };
        let route = Route::Direct(target.state.pool.address());
        let connector = &self.databases.connector;
        let dialled = connector.open(route, to, DatabaseUser::Gateway, PROBE_LIMIT);
        let seen = match dialled.await {
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
            false => seen,
        };
        target.state.probed_as(evidence);
        evidence
    }

    /// Probes a primary that failed this node, and reports it for as long as it doesn't answer.
    pub fn suspect(self: &Rc<Self>, target: &Target) {
        if !self.databases.is_primary(target) || target.state.probed.replace(true) {
            return;
        }
        let suspicions = self.clone();
        let target = target.clone();
        tokio::task::spawn_local(async move {
            suspicions.probe_until_answered(&target).await;
            target.state.probed.set(false);
        });
    }

    async fn probe_until_answered(&self, target: &Target) {
        for _ in 0..PROBES_AT_MOST {
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

    /// Reports to the coordinator, or to all nodes if it isn't known, that `target` doesn't answer.
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
            None => peers.broadcast(&message),
        }
    }

    /// Records that some node suspects a primary.
    pub fn record(&self, group: GroupName, database: DatabaseName) {
        let mut suspicions = self.fleet.coordinator.suspicions.borrow_mut();
        suspicions
            .entry((group, database))
            .or_insert_with(Instant::now);
        drop(suspicions);
        self.fleet.coordinator.attention.notify_one();
    }
}
