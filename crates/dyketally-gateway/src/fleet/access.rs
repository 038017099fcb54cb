//! Access to databases for the layers above: over a connection of this node's own pool, or one that a home
//! keeps, and by way of another node while this one is cut off. [`super::homes`] says which of these; a home
//! ([`super::home`]) asks for a permission of its own before it sends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Permission;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::FailureKind;
use tokio::time::Instant;

use crate::database::Databases;
use crate::database::batch::Batch;
use crate::database::claim::{Claim, Work};
use crate::database::connection::{Answer, Broken};
use crate::database::health::InFlight;
use crate::database::pacer::LONGEST_TURN;
use crate::database::target::Target;
use crate::fleet::Fleet;
use crate::fleet::connection::DatabaseConnection;
use crate::fleet::link::{CallError, HomeCall};

/// Silence after which a primary is probed while a statement goes on waiting for it. Not measured.
const SILENCE: Duration = Duration::from_millis(200);

/// How this node reaches a database.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Access {
    /// Over connections of its own.
    Own,
    /// By way of one of these homes, in the order of preference.
    ViaHomes(Rc<[SocketAddr]>),
}

/// Why a batch has no answers.
#[derive(Clone, Debug)]
pub enum ExchangeError {
    /// No step was run.
    NotRun(FailureKind),
    /// It was sent, and any step may have run.
    Lost(Broken),
}

/// Access to databases by all ways that this node has.
pub struct DatabaseAccess {
    /// The nodes.
    pub fleet: Rc<Fleet>,
    /// The databases.
    pub databases: Rc<Databases>,
}

impl DatabaseAccess {
    /// Access to `databases` by way of the nodes of `fleet`.
    pub fn new(fleet: Rc<Fleet>, databases: Rc<Databases>) -> Rc<Self> {
        Rc::new(Self { fleet, databases })
    }

    /// A connection to `target`.
    ///
    /// # Errors
    /// Why there is none.
    pub async fn connect(
        self: &Rc<Self>,
        target: &Target,
        values: &BTreeMap<String, String>,
        claim: Claim,
    ) -> Result<DatabaseConnection, FailureKind> {
        match self.access_to(&target.name, &claim) {
            Access::ViaHomes(homes) => {
                let call = HomeCall::new(self.clone(), target.name.clone(), homes, claim);
                Ok(DatabaseConnection::Remote(call))
            }
            Access::Own => {
                let checkout = self.databases.checkout(target, values, claim);
                Ok(DatabaseConnection::Own(
                    checkout.await.map_err(|refusal| refusal.kind)?,
                ))
            }
        }
    }

    /// How this node reaches a database for what `claim` tells. Where no home may see it, it uses a
    /// connection of its own; a database that is cold is reached only by way of those that send to it
    /// then.
    fn access_to(&self, database: &DatabaseName, claim: &Claim) -> Access {
        let Some(placement) = self.fleet.placement_of(database) else {
            return Access::Own;
        };
        if claim.work != Work::Control && self.databases.pacer(database).is_cold() {
            return match placement.may_send_cold {
                true => Access::Own,
                false => Access::ViaHomes(placement.ordered_cold_senders(&claim.regions)),
            };
        }
        if placement.is_home {
            return Access::Own;
        }
        let homes = placement.ordered(claim.user.as_ref(), &claim.regions);
        let usable = |home: &SocketAddr| !self.fleet.homes.passed_over.contains(home);
        match homes.iter().any(usable) {
            true => Access::ViaHomes(homes),
            false => Access::Own,
        }
    }

    /// Runs a batch at `target` and reads the answers; probes it if it stays silent.
    ///
    /// # Errors
    /// There are no answers; tells whether anything may have run.
    pub async fn exchange(
        &self,
        connection: &mut DatabaseConnection,
        target: &Target,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, ExchangeError> {
        let _in_flight = InFlight::begin(&target.state);
        let started = Instant::now();
        let is_own = matches!(connection, DatabaseConnection::Own(_));
        let run = connection.run(batch, permission);
        tokio::pin!(run);
        // The wait for a cold database's turn isn't silence of the database: taken for that, it would be
        // probed by many nodes, whose connections load it further.
        let silence = match target.state.pool.is_cold() {
            true => SILENCE + LONGEST_TURN,
            false => SILENCE,
        };
        let result = match tokio::time::timeout(silence, &mut run).await {
            Ok(result) => result,
            Err(_) => {
                if is_own {
                    self.databases.suspect(target);
                }
                run.await
            }
        };
        match result {
            Ok(answers) => {
                target.state.answered(started.elapsed());
                Ok(answers)
            }
            Err(error) => Err(self.exchange_error(target, is_own, error)),
        }
    }

    fn exchange_error(&self, target: &Target, is_own: bool, error: CallError) -> ExchangeError {
        match error {
            CallError::DatabaseBroke(broken) if is_own => {
                self.databases.unreachable(target);
                ExchangeError::Lost(broken)
            }
            CallError::DatabaseBroke(broken) => {
                target.state.failed();
                ExchangeError::Lost(broken)
            }
            CallError::HomeLost(broken) => ExchangeError::Lost(broken),
            CallError::NotRun(refusal) => {
                if refusal.unreachable {
                    target.state.failed();
                }
                ExchangeError::NotRun(refusal.kind)
            }
        }
    }
}
