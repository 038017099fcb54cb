//! The caller's side of calls: runs batches at a home of the database.

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
use crate::database::claim::{Claim, Refusal};
use crate::database::connection::{Answer, Broken, leave_idle};
use crate::fleet::access::DatabaseAccess;
use crate::measures::Stage;

/// Silence of a home that is called from which on it is looked for. Not measured.
const SILENCE: Duration = Duration::from_millis(200);

/// A connection to a database at one of its homes. Dropping it closes the link, and the home drops
/// the transaction; [`HomeCall::give_back`] keeps the link.
pub struct HomeCall {
    access: Rc<DatabaseAccess>,
    database: DatabaseName,
    homes: Rc<[SocketAddr]>,
    claim: Claim,
    link: Option<(SocketAddr, Link)>,
    /// True while the home keeps a connection for this call.
    bound: bool,
    /// Nodes whose part of a cold database's rate is used up, and what they said.
    used_up: Vec<(SocketAddr, Refusal)>,
}

impl HomeCall {
    /// A call that hasn't begun.
    pub fn new(
        access: Rc<DatabaseAccess>,
        database: DatabaseName,
        homes: Rc<[SocketAddr]>,
        claim: Claim,
    ) -> Self {
        Self {
            access,
            database,
            homes,
            claim,
            link: None,
            bound: false,
            used_up: Vec::new(),
        }
    }

    /// The database that is called.
    pub fn database(&self) -> &DatabaseName {
        &self.database
    }

    /// Keeps the link for other calls. No transaction may be open.
    pub fn give_back(mut self) {
        self.link_is_free();
    }

    /// Runs a batch, for which `permission` was obtained; the home makes sure of its own. While a
    /// transaction is open, all batches run on the same connection.
    ///
    /// # Errors
    /// There are no answers; tells whether anything may have run.
    pub async fn run(
        &mut self,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, CallError> {
        debug_assert!(permission.is_for(&self.database));
        loop {
            let (home, mut link) = match self.link.take() {
                Some(link) => link,
                None => self.reach_home().await?,
            };
            let call = self.call(batch);
            let began = Instant::now();
            let reply = self
                .call_watched(home, link.call(&self.access.fleet, &call))
                .await;
            self.access
                .fleet
                .cx
                .measures
                .spent(Stage::Link, began.elapsed());
            let reply = reply.map_err(|broken| {
                self.pass_over(home);
                CallError::HomeLost(broken)
            })?;
            self.link = Some((home, link));
            match reply {
                CallReply::Answers(answers) => {
                    self.access.databases.pacer(&self.database).ran();
                    self.bound = !leave_idle(&answers);
                    return Ok(answers);
                }
                CallReply::Leaving if !self.bound => {
                    self.link = None;
                    self.pass_over(home);
                }
                CallReply::Leaving => {
                    return Err(CallError::HomeLost(Broken::new("the home stops")));
                }
                CallReply::Refused(refusal)
                    if refusal.kind == FailureKind::DatabaseCold && !self.bound =>
                {
                    self.link_is_free();
                    self.used_up.push((home, refusal));
                }
                CallReply::Refused(refusal) => return Err(CallError::NotRun(refusal)),
                CallReply::Broken(reason) => {
                    return Err(CallError::DatabaseBroke(Broken::new(reason)));
                }
            }
        }
    }

    /// The message that asks for `batch`.
    fn call<'a>(&self, batch: &'a Batch) -> Call<'a> {
        let left = self.claim.until.saturating_duration_since(Instant::now());
        Call {
            database: self.database.clone(),
            priority: self.claim.priority,
            patience_ms: milliseconds(left),
            burst_ms: milliseconds(self.claim.patience.burst),
            standing_ms: milliseconds(self.claim.patience.standing),
            work: self.claim.work,
            user: self.claim.user.clone(),
            batch: Cow::Borrowed(batch),
        }
    }

    /// Waits for the reply of `home`, and has it looked for when it stays silent.
    async fn call_watched<T>(&self, home: SocketAddr, call: impl Future<Output = T>) -> T {
        tokio::pin!(call);
        match tokio::time::timeout(SILENCE, &mut call).await {
            Ok(reply) => reply,
            Err(_) => {
                self.access.look_for_home(home, &self.database);
                call.await
            }
        }
    }

    fn link_is_free(&mut self) {
        if let Some((home, link)) = self.link.take() {
            self.access.fleet.links.give_back(home, link);
        }
    }

    fn pass_over(&self, home: SocketAddr) {
        self.access.fleet.homes.passed_over.add(home);
        self.access.fleet.links.close(home);
    }

    /// A link to the first home that can be reached.
    async fn reach_home(&mut self) -> Result<(SocketAddr, Link), CallError> {
        let homes = self.homes.clone();
        for home in homes.iter() {
            if self.access.fleet.homes.passed_over.contains(home)
                || Instant::now() >= self.claim.until
            {
                continue;
            }
            if self.used_up.iter().any(|(asked, _)| asked == home) {
                continue;
            }
            match self.access.fleet.links.take(*home).await {
                Ok(link) => return Ok((*home, link)),
                // A home that can't be reached has run nothing, and is left alone for a while.
                Err(_) => self.pass_over(*home),
            }
        }
        let refusal = self.used_up.last().map(|(_, refusal)| *refusal);
        Err(CallError::NotRun(refusal.unwrap_or(Refusal {
            kind: FailureKind::Busy,
            unreachable: false,
        })))
    }
}

fn milliseconds(duration: Duration) -> u32 {
    duration.as_millis().try_into().unwrap_or(u32::MAX)
}
