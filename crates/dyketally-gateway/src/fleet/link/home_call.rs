//! The caller's side of calls: has a home of the database run batches.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Permission;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::FailureKind;
use tokio::time::Instant;

use super::links::Link;
use super::{Call, CallError, CallReply};
use crate::database::batch::Batch;
use crate::database::connection::{Answer, Disconnected, end_outside_transaction};
use crate::database::connection_request::{ConnectionRequest, Refusal};
use crate::fleet::access::DatabaseAccess;
use crate::measures::Stage;

/// Time without a reply to a call after which the home is probed.
const PROBE_AFTER: Duration = Duration::from_millis(200);

/// A connection to a database through one of its homes. Dropping it closes the link, whereupon the home
/// rolls back the transaction; [`HomeCall::give_back`] keeps the link.
pub struct HomeCall {
    access: Rc<DatabaseAccess>,
    database: DatabaseName,
    homes: Rc<[SocketAddr]>,
    request: ConnectionRequest,
    link: Option<(SocketAddr, Link)>,
    /// True while the home has pinned a connection to the link, as a transaction is open on it.
    pinned: bool,
    /// Homes that refused this call since their share of a cold database's rate is used up.
    rate_used_up: Vec<(SocketAddr, Refusal)>,
}

impl HomeCall {
    /// Creates a connection that calls the first reachable node of `homes` when its first batch runs.
    pub fn new(
        access: Rc<DatabaseAccess>,
        database: DatabaseName,
        homes: Rc<[SocketAddr]>,
        request: ConnectionRequest,
    ) -> Self {
        Self {
            access,
            database,
            homes,
            request,
            link: None,
            pinned: false,
            rate_used_up: Vec::new(),
        }
    }

    /// The database that the connection is for.
    pub fn database(&self) -> &DatabaseName {
        &self.database
    }

    /// Returns the link for use by other calls. No transaction may be open.
    pub fn give_back(mut self) {
        self.return_link();
    }

    /// Runs a batch; `permission` must be for this database, and the home obtains its own besides. While a
    /// transaction is open, all batches run on the same connection.
    ///
    /// # Errors
    /// There are no answers; tells whether any step may have run.
    pub async fn run(
        &mut self,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, CallError> {
        debug_assert!(permission.is_for(&self.database));
        loop {
            let (home, mut link) = match self.link.take() {
                Some(link) => link,
                None => self.link_to_home().await?,
            };
            let call = self.call(batch);
            let began = Instant::now();
            let reply = self
                .reply_or_probe(home, link.call(&self.access.fleet, &call))
                .await;
            self.access
                .fleet
                .cx
                .measures
                .record_stage(Stage::Link, began.elapsed());
            let reply = reply.map_err(|broken| {
                self.exclude(home);
                CallError::HomeLost(broken)
            })?;
            self.link = Some((home, link));
            match reply {
                CallReply::Answers(answers) => {
                    self.access
                        .databases
                        .pacer(&self.database)
                        .answered_another_node();
                    self.pinned = !end_outside_transaction(&answers);
                    return Ok(answers);
                }
                CallReply::Leaving if !self.pinned => {
                    self.link = None;
                    self.exclude(home);
                }
                CallReply::Leaving => {
                    return Err(CallError::HomeLost(Disconnected::new(
                        "the home is stopping",
                    )));
                }
                CallReply::Refused(refusal)
                    if refusal.kind == FailureKind::DatabaseCold && !self.pinned =>
                {
                    self.return_link();
                    self.rate_used_up.push((home, refusal));
                }
                CallReply::Refused(refusal) => return Err(CallError::NotRun(refusal)),
                CallReply::Broken(reason) => {
                    return Err(CallError::DatabaseBroke(Disconnected::new(reason)));
                }
            }
        }
    }

    /// The message that requests `batch` from a home.
    fn call<'a>(&self, batch: &'a Batch) -> Call<'a> {
        let time_left = self
            .request
            .deadline
            .saturating_duration_since(Instant::now());
        Call {
            database: self.database.clone(),
            priority: self.request.priority,
            wait_limit_ms: milliseconds(time_left),
            burst_ms: milliseconds(self.request.queue_timeout.burst),
            standing_ms: milliseconds(self.request.queue_timeout.standing),
            connection_use: self.request.connection_use,
            user: self.request.user.clone(),
            batch: Cow::Borrowed(batch),
        }
    }

    /// Waits for the reply of `home`, and probes the home if there is none within `PROBE_AFTER`.
    async fn reply_or_probe<T>(&self, home: SocketAddr, call: impl Future<Output = T>) -> T {
        tokio::pin!(call);
        match tokio::time::timeout(PROBE_AFTER, &mut call).await {
            Ok(reply) => reply,
            Err(_) => {
                self.access.probe_home(home, &self.database);
                call.await
            }
        }
    }

    fn return_link(&mut self) {
        if let Some((home, link)) = self.link.take() {
            self.access.fleet.links.give_back(home, link);
        }
    }

    /// Excludes a home for a while and closes its idle links.
    fn exclude(&self, home: SocketAddr) {
        self.access.fleet.homes.exclusions.add(home);
        self.access.fleet.links.close(home);
    }

    /// A link to the first home that can be reached and may still have a share of a cold database's rate.
    async fn link_to_home(&mut self) -> Result<(SocketAddr, Link), CallError> {
        let homes = self.homes.clone();
        for home in homes.iter() {
            if self.access.fleet.homes.exclusions.contains(home)
                || Instant::now() >= self.request.deadline
            {
                continue;
            }
            if self.rate_used_up.iter().any(|(node, _)| node == home) {
                continue;
            }
            match self.access.fleet.links.take(*home).await {
                Ok(link) => return Ok((*home, link)),
                // A home that can't be reached has run nothing, so the next one may be called.
                Err(_) => self.exclude(*home),
            }
        }
        let refusal = self.rate_used_up.last().map(|(_, refusal)| *refusal);
        Err(CallError::NotRun(refusal.unwrap_or(Refusal {
            kind: FailureKind::Busy,
            unreachable: false,
        })))
    }
}

fn milliseconds(duration: Duration) -> u32 {
    duration.as_millis().try_into().unwrap_or(u32::MAX)
}
