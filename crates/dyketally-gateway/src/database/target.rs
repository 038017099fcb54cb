//! Databases that statements may be sent to: a member of the directory with this node's state of it.

use std::net::SocketAddr;
use std::rc::Rc;

use dyketally::directory::Member;
use dyketally::identifiers::{DatabaseName, GroupName, Locality, ZoneName};
use dyketally::placement::Distance;

use super::Databases;
use super::health::DatabaseState;
use super::pool::Pool;
use crate::decision::choose;

/// A database that a statement may be sent to.
#[derive(Clone)]
pub struct Target {
    /// Its name.
    pub name: DatabaseName,
    /// Its group.
    pub group: GroupName,
    /// Where it runs.
    pub zone: ZoneName,
    /// The database as this node uses it.
    pub state: Rc<DatabaseState>,
    /// True when it is believed to lead.
    pub leads: bool,
}

impl std::fmt::Debug for Target {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.name)
    }
}

impl Databases {
    /// A database as a target, believed to lead; `None` where it isn't known.
    pub fn known_target(&self, database: &DatabaseName) -> Option<Target> {
        let directory = self.directory.borrow();
        Some(self.target(directory.member(database)?, true))
    }

    /// A member as a target.
    pub fn target(&self, member: &Member, leads: bool) -> Target {
        let announcement = &member.announcement;
        let expected_ms = self.expected_latency_ms(member);
        let state = self.state(
            &announcement.database,
            &announcement.group,
            announcement.address,
            expected_ms,
        );
        Target {
            name: announcement.database.clone(),
            group: announcement.group.clone(),
            zone: announcement.zone.clone(),
            state,
            leads,
        }
    }

    /// A database as this node uses it. One at another address than before begins anew.
    fn state(
        &self,
        name: &DatabaseName,
        group: &GroupName,
        address: SocketAddr,
        expected_ms: f64,
    ) -> Rc<DatabaseState> {
        let mut states = self.states.borrow_mut();
        if let Some(state) = states.get(name)
            && state.pool.address() == address
        {
            return state.clone();
        }
        let pool = Pool::new(
            self.connector.clone(),
            name.clone(),
            group.clone(),
            address,
            self.shares.connection_limit(name),
            self.pacer(name),
            self.cx.measures.clone(),
        );
        self.share_slots(name, &pool);
        let state = DatabaseState::new(pool, expected_ms);
        states.insert(name.clone(), state.clone());
        state
    }

    /// How far a member is from this node.
    pub fn distance(&self, member: &Member) -> Distance {
        let place = self.cx.settings.locality(&member.announcement.zone);
        Distance::between(&self.cx.settings.own_locality(), &place)
    }

    /// The latency to expect of a statement at a member without load, in milliseconds.
    pub fn expected_latency_ms(&self, member: &Member) -> f64 {
        choose::expected_latency_ms(self.distance(member))
    }

    /// Where a database runs, if it is known.
    pub fn locality_of(&self, database: &DatabaseName) -> Option<Locality> {
        let directory = self.directory.borrow();
        let zone = &directory.member(database)?.announcement.zone;
        Some(self.cx.settings.locality(zone))
    }
}
