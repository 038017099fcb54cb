//! Probes of a database that failed this node, and the evidence they give.

use std::rc::Rc;
use std::time::Duration;

use dyketally::failover::Evidence;
use dyketally::statement::FailureKind;
use tokio::time::Instant;

use crate::database::connection::{Destination, OpenError, Route};
use crate::database::target::Target;
use crate::event::Event;
use crate::gateway::Gateway;
use crate::ports::DatabaseUser;

/// Longest time that a probe may take.
pub const PROBE_LIMIT: Duration = Duration::from_millis(300);
/// How long a probe that failed answers further questions.
const EVIDENCE_HOLDS: Duration = Duration::from_millis(400);
/// Pause between two probes of a primary that doesn't answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Probes in a row.
const PROBES_AT_MOST: u32 = 40;

impl Gateway {
    /// What this node sees of a database: as it has just found out, or by a new probe.
    pub async fn evidence_of(self: &Rc<Self>, target: &Target) -> Evidence {
        match target.state.recent_failure(EVIDENCE_HOLDS) {
            Some(evidence) => evidence,
            None => self.probe(target).await,
        }
    }

    /// Probes a database on a new connection of its own. An answer to anything else that comes
    /// meanwhile counts as well, as a busy database may be slow to open connections.
    async fn probe(self: &Rc<Self>, target: &Target) -> Evidence {
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
    pub fn suspect_primary(self: &Rc<Self>, target: &Target) {
        if !self.databases.is_primary(target) || target.state.probed.replace(true) {
            return;
        }
        let gateway = self.clone();
        let target = target.clone();
        tokio::task::spawn_local(async move {
            gateway.probe_until_answered(&target).await;
            target.state.probed.set(false);
        });
    }

    async fn probe_until_answered(self: &Rc<Self>, target: &Target) {
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
            self.report_suspicion(target);
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
    }
}
