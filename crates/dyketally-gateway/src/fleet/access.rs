//! How this node gets a connection to a database: one of its own pool, or one that a home keeps.

use std::net::SocketAddr;
use std::rc::Rc;

use dyketally::identifiers::DatabaseName;

use crate::database::Databases;
use crate::database::claim::{Claim, Work};
use crate::fleet::Fleet;

/// How this node reaches a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Access {
    /// Over connections of its own.
    Own,
    /// By way of one of these homes, in the order of preference.
    ViaHomes(Rc<[SocketAddr]>),
}

impl Fleet {
    /// How this node reaches a database for what `claim` tells. Where no home may see it, it uses a
    /// connection of its own; a database that is cold is reached only by way of those that send to it
    /// then.
    pub fn access_to(
        &self,
        databases: &Databases,
        database: &DatabaseName,
        claim: &Claim,
    ) -> Access {
        let Some(placement) = self.placement_of(database) else {
            return Access::Own;
        };
        if claim.work != Work::Control && databases.pacer(database).is_cold() {
            return match placement.may_send_cold {
                true => Access::Own,
                false => Access::ViaHomes(placement.ordered_cold_senders(&claim.regions)),
            };
        }
        if placement.is_home {
            return Access::Own;
        }
        let homes = placement.ordered(claim.user.as_ref(), &claim.regions);
        let usable = |home: &SocketAddr| !self.homes.passed_over.contains(home);
        match homes.iter().any(usable) {
            true => Access::ViaHomes(homes),
            false => Access::Own,
        }
    }
}
