//! Targets of statements: members of the directory, each with this node's pool and health for it.

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
    /// Name of the database.
    pub name: DatabaseName,
    /// Group of the database.
    pub group: GroupName,
    /// Zone in which the database runs.
    pub zone: ZoneName,
    /// This node's pool and health for the database.
    pub state: Rc<DatabaseState>,
    /// True when the database is treated as the leader of its group.
    pub leads: bool,
}

impl std::fmt::Debug for Target {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}", self.name)
    }
}

impl Databases {
    /// A database as a target that is treated as the leader; `None` if the directory lacks it.
    pub fn known_target(&self, database: &DatabaseName) -> Option<Target> {
        let directory = self.directory.borrow();
        Some(self.target(directory.member(database)?, true))
    }

    /// A member of the directory as a target.
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

    /// The pool and health of a database. They are created anew if the database's address has changed.
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

    /// Distance between this node and a member, by region and zone.
    pub fn distance(&self, member: &Member) -> Distance {
        let place = self.cx.settings.locality(&member.announcement.zone);
        Distance::between(&self.cx.settings.own_locality(), &place)
    }

    /// Expected latency of a statement at a member without load, in milliseconds.
    pub fn expected_latency_ms(&self, member: &Member) -> f64 {
        choose::expected_latency_ms(self.distance(member))
    }

    /// Region and zone of a database; `None` if the directory lacks it.
    pub fn locality_of(&self, database: &DatabaseName) -> Option<Locality> {
        let directory = self.directory.borrow();
        let zone = &directory.member(database)?.announcement.zone;
        Some(self.cx.settings.locality(zone))
    }
}
