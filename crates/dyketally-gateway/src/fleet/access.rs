//! Access to databases for the layers above: over a connection of this node's own pool or of a home, and
//! through a forwarding node while this node can't reach the database directly. [`super::homes`] determines
//! the path; a home ([`super::home`]) obtains its own permission before it sends.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Permission;
use dyketally::identifiers::DatabaseName;
use dyketally::statement::FailureKind;
use tokio::time::Instant;

use crate::context::Limit;
use crate::database::Databases;
use crate::database::batch::Batch;
use crate::database::connection::{Answer, Disconnected};
use crate::database::connection_request::{ConnectionRequest, ConnectionUse};
use crate::database::health::InFlight;
use crate::database::pacer::SEND_WAIT_LIMIT;
use crate::database::target::Target;
use crate::fleet::Fleet;
use crate::fleet::connection::DatabaseConnection;
use crate::fleet::link::{CallError, HomeCall};

/// Time without an answer after which a primary is probed, while the statement keeps waiting for it.
const PROBE_AFTER: Duration = Duration::from_millis(200);

/// The path by which this node reaches a database.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ConnectionPath {
    /// Over connections of this node's own pool.
    Own,
    /// Through one of these nodes, in the order of preference.
    ViaHomes(Rc<[SocketAddr]>),
}

/// Why a batch has no answers.
#[derive(Clone, Debug)]
pub enum ExchangeError {
    /// No step was run.
    NotRun(FailureKind),
    /// The batch was sent and its answers were lost, so that any step may have run.
    Lost(Disconnected),
}

/// Access to databases by all paths that this node has.
pub struct DatabaseAccess {
    /// The nodes.
    pub fleet: Rc<Fleet>,
    /// The databases.
    pub databases: Rc<Databases>,
}

impl DatabaseAccess {
    /// Gives access to `databases`, directly and through the nodes of `fleet`.
    pub fn new(fleet: Rc<Fleet>, databases: Rc<Databases>) -> Rc<Self> {
        Rc::new(Self { fleet, databases })
    }

    /// Acquires a connection to `target` for a session with `values`.
    ///
    /// # Errors
    /// No connection of this node's own pool was available; tells why. A connection through a home is
    /// acquired only when its first batch runs.
    pub async fn connect(
        self: &Rc<Self>,
        target: &Target,
        values: &BTreeMap<String, String>,
        request: ConnectionRequest,
    ) -> Result<DatabaseConnection, FailureKind> {
        match self.path_to(&target.name, &request) {
            ConnectionPath::ViaHomes(homes) => {
                let call = HomeCall::new(self.clone(), target.name.clone(), homes, request);
                Ok(DatabaseConnection::Remote(call))
            }
            ConnectionPath::Own => {
                let checkout = self.databases.checkout(target, values, request);
                Ok(DatabaseConnection::Own(
                    checkout.await.map_err(|refusal| refusal.kind)?,
                ))
            }
        }
    }

    /// The path by which this node reaches a database for `request`. If no home is usable in the request's
    /// regions, this node uses a connection of its own. Statements reach a cold database only through the
    /// nodes that send to it while it is cold.
    fn path_to(&self, database: &DatabaseName, request: &ConnectionRequest) -> ConnectionPath {
        let Some(placement) = self.fleet.placement_of(database) else {
            return ConnectionPath::Own;
        };
        if request.connection_use != ConnectionUse::Control
            && self.databases.pacer(database).is_cold()
        {
            return match placement.may_send_cold {
                true => ConnectionPath::Own,
                false => ConnectionPath::ViaHomes(placement.ordered_cold_senders(&request.regions)),
            };
        }
        if placement.is_home {
            return ConnectionPath::Own;
        }
        let homes = placement.ordered_homes(request.user.as_ref(), &request.regions);
        let usable = |home: &SocketAddr| !self.fleet.homes.exclusions.contains(home);
        match homes.iter().any(usable) {
            true => ConnectionPath::ViaHomes(homes),
            false => ConnectionPath::Own,
        }
    }

    /// Runs a batch at `target` and reads the answers. Over a connection of this node's own pool, it probes
    /// the database if it is a primary that doesn't answer soon.
    ///
    /// # Errors
    /// There are no answers; tells whether any step may have run.
    pub async fn exchange(
        &self,
        connection: &mut DatabaseConnection,
        target: &Target,
        batch: &Batch,
        permission: Permission,
    ) -> Result<Vec<Answer>, ExchangeError> {
        let _in_flight = InFlight::begin(&target.state);
        if batch.needs_leader() {
            self.fleet.cx.want_grant();
        }
        let started = Instant::now();
        let is_own = matches!(connection, DatabaseConnection::Own(_));
        let run = connection.run(batch, permission);
        tokio::pin!(run);
        // A batch for a cold database waits for its turn first, which doesn't mean that the database fails
        // to answer. Without this allowance many nodes would probe it, and their connections would load
        // it further.
        let probe_after = match target.state.pool.is_cold() {
            true => PROBE_AFTER + SEND_WAIT_LIMIT,
            false => PROBE_AFTER,
        };
        let result = match tokio::time::timeout(probe_after, &mut run).await {
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
                target.state.record_answer(started.elapsed());
                if answers.iter().any(Answer::was_too_long) {
                    self.fleet.cx.limit_acted(Limit::LongAnswer, None);
                }
                Ok(answers)
            }
            Err(error) => Err(self.exchange_error(target, is_own, error)),
        }
    }

    fn exchange_error(&self, target: &Target, is_own: bool, error: CallError) -> ExchangeError {
        match error {
            CallError::DatabaseBroke(broken) if is_own => {
                self.databases.record_unreachable(target);
                ExchangeError::Lost(broken)
            }
            CallError::DatabaseBroke(broken) => {
                target.state.record_failure();
                ExchangeError::Lost(broken)
            }
            CallError::HomeLost(broken) => ExchangeError::Lost(broken),
            CallError::NotRun(refusal) => {
                if refusal.unreachable {
                    target.state.record_failure();
                }
                ExchangeError::NotRun(refusal.kind)
            }
        }
    }
}
