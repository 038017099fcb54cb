//! Whether the home's database may serve a request now, with what the home knows of its group.

use std::time::Duration;

use dyketally::group::{GroupView, Term};
use dyketally::outcome::NotRunReason;
use dyketally::policy::Access;
use dyketally::routing::{ServeDecision, ServeRequest, ServeSettings, decide};
use dyketally::time::Timestamp;
use dyketally_protocol::Completion;
use tokio::sync::watch;
use tokio::time::timeout;

use super::serve::{ServedRequest, Stop};
use crate::clock::now;

/// Longest wait for the database's own status before a request is sent on to another one.
const OWN_STATUS_LIMIT: Duration = Duration::from_millis(50);

/// The database may serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Permission {
    /// The term in which the database leads its group, if it does.
    pub leads_in: Option<Term>,
    /// The reply is held until the group confirms that the database leads in this term.
    pub confirm: Option<Term>,
    /// The request may only run while the database leads.
    pub needs_primary: bool,
}

impl ServedRequest<'_> {
    /// Waits until the database may serve the request on a connection opened at `opened_at`, or
    /// until it is clear that it can't.
    pub(super) async fn route(&self, opened_at: Timestamp) -> Result<Permission, Stop> {
        let mut changes = self.shared.monitor.changes();
        let mut asked = false;
        loop {
            changes.mark_unchanged();
            let (decision, leads_in) = self.decide(opened_at);
            let permission = |confirm, needs_primary| Permission {
                leads_in,
                confirm,
                needs_primary,
            };
            match decision {
                ServeDecision::Serve => {
                    let writes = self.execute.access == Access::Write;
                    return Ok(permission(None, writes));
                }
                ServeDecision::ServeConfirmed { term } => return Ok(permission(Some(term), true)),
                ServeDecision::AskStatus => self.ask_own_status().await?,
                ServeDecision::WaitUntil(at) => self.sleep_until(at).await?,
                ServeDecision::Redirect { primary, term } => {
                    if !std::mem::replace(&mut asked, true) && self.may_lead_unheard() {
                        self.refresh_own_status().await;
                    } else if primary.is_some() {
                        return Err(Stop::Complete(Completion::Redirect { primary, term }));
                    } else {
                        self.wait_for_change(&mut changes).await?;
                    }
                }
            }
        }
    }

    /// False once a request that needs the primary can't run here any more.
    pub(super) fn still_permitted(&self, permission: Permission) -> bool {
        let leads_in = || self.shared.monitor.view(|view| self.leads_in(view));
        !permission.needs_primary || leads_in() == permission.leads_in
    }

    /// Where the group's primary is now, for a request that was not run here.
    pub(super) fn redirect(&self) -> Completion {
        let database = &self.shared.database;
        self.shared.monitor.view(|view| match view.primary() {
            Some((primary, term)) if &primary != database => Completion::Redirect {
                primary: Some(primary),
                term,
            },
            _ => Completion::Redirect {
                primary: None,
                term: view.highest_term(),
            },
        })
    }

    fn decide(&self, opened_at: Timestamp) -> (ServeDecision, Option<Term>) {
        let request = ServeRequest {
            database: &self.shared.database,
            access: self.execute.access,
            freshness: self.execute.freshness,
            arrived_at: self.arrived_at,
            connection_opened_at: Some(opened_at),
        };
        self.shared.monitor.view(|view| {
            let decision = decide(view, request, ServeSettings::default(), now());
            (decision, self.leads_in(view))
        })
    }

    fn leads_in(&self, view: &GroupView) -> Option<Term> {
        let (primary, term) = view.primary()?;
        (primary == self.shared.database).then_some(term)
    }

    fn is_status_recent(&self) -> bool {
        let database = &self.shared.database;
        let seen = self.shared.monitor.view(|view| view.status(database));
        seen.is_some_and(|seen| seen.asked_at >= self.arrived_at)
    }

    /// An election that the database won is worth asking about, unless it doesn't answer anyway.
    fn may_lead_unheard(&self) -> bool {
        !self.is_status_recent() && !self.shared.monitor.is_silent(&self.shared.database)
    }

    async fn ask_own_status(&self) -> Result<(), Stop> {
        let database = &self.shared.database;
        if self.shared.monitor.is_lost(database) {
            return Err(NotRunReason::Unreachable.into());
        }
        let answered = self.shared.monitor.ask(database);
        match timeout(self.time_left(), answered).await {
            Ok(true) => Ok(()),
            Ok(false) => Err(NotRunReason::Unreachable.into()),
            Err(_) => Err(NotRunReason::DeadlinePassed.into()),
        }
    }

    /// An edge may know of an election that this home has yet to hear of.
    async fn refresh_own_status(&self) {
        let limit = OWN_STATUS_LIMIT.min(self.time_left());
        // Without an answer the decision stands.
        let _ = timeout(limit, self.shared.monitor.ask(&self.shared.database)).await;
    }

    async fn wait_for_change(&self, changes: &mut watch::Receiver<u64>) -> Result<(), Stop> {
        self.shared.monitor.watch_closely();
        tokio::select! {
            _ = changes.changed() => Ok(()),
            () = tokio::time::sleep(self.time_left()) => Err(NotRunReason::NoPrimary.into()),
            () = self.cancelled.cancelled() => Err(NotRunReason::DeadlinePassed.into()),
        }
    }

    async fn sleep_until(&self, at: Timestamp) -> Result<(), Stop> {
        if at >= self.deadline {
            return Err(NotRunReason::DeadlinePassed.into());
        }
        tokio::time::sleep(at.saturating_since(now())).await;
        Ok(())
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_since(now())
    }
}
