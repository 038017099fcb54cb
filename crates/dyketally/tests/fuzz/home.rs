//! The homes on one node, one per database, and the dispatch of requests and database messages to them.

use std::collections::BTreeMap;

use dyketally::identifiers::TenantName;

use crate::database_home::DatabaseHome;
use crate::environment::{ConnectionId, Environment, MEMBERS, Place};
use crate::messages::{Completion, Execute, Payload, SessionKey};

/// Number of a request that a home has received, unique within the node's incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobId(pub u64);

pub struct Home {
    databases: Vec<DatabaseHome>,
    next_job: u64,
    /// The member whose home opened each connection to a database.
    owners: BTreeMap<ConnectionId, usize>,
}

pub fn tenant_of(client: usize) -> TenantName {
    TenantName::new(["shops", "racers"][client % 2])
}

impl Home {
    pub fn new(place: Place) -> Self {
        Home {
            databases: (0..MEMBERS)
                .map(|member| DatabaseHome::new(place, member))
                .collect(),
            next_job: 0,
            owners: BTreeMap::new(),
        }
    }

    pub fn execute(&mut self, environment: &mut Environment, link: ConnectionId, execute: Execute) {
        self.next_job += 1;
        let job = JobId(self.next_job);
        let member = execute.member;
        self.databases[member].execute(environment, link, job, execute);
        self.record_owners(member);
    }

    pub fn cancel(&mut self, environment: &mut Environment, link: ConnectionId, request: u64) {
        for database in &mut self.databases {
            database.cancel(environment, link, request);
        }
    }

    pub fn end_session(&mut self, environment: &mut Environment, session: SessionKey) {
        for database in &mut self.databases {
            database.end_session(environment, session);
        }
    }

    pub fn lose_link(&mut self, environment: &mut Environment, link: ConnectionId) {
        for database in &mut self.databases {
            database.lose_link(environment, link);
        }
    }

    /// Handles a payload from a database; returns false if no home on this node opened the connection.
    pub fn handle(
        &mut self,
        environment: &mut Environment,
        id: ConnectionId,
        payload: &Payload,
    ) -> bool {
        let Some(member) = self.owners.get(&id).copied() else {
            return false;
        };
        self.databases[member].handle(environment, id, payload);
        self.record_owners(member);
        true
    }

    pub fn tick(&mut self, environment: &mut Environment) {
        for member in 0..MEMBERS {
            self.databases[member].tick(environment);
            self.record_owners(member);
        }
    }

    pub fn database_leaves(&mut self, environment: &mut Environment, member: usize) {
        self.databases[member].leave(environment);
    }

    pub fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.databases.iter().flat_map(|database| database.jobs())
    }

    fn record_owners(&mut self, member: usize) {
        for connection in self.databases[member].take_new_connections() {
            self.owners.insert(connection, member);
        }
    }
}

/// Sends a request's completion to the edge that sent the request.
pub fn finish(
    environment: &mut Environment,
    link: ConnectionId,
    request: u64,
    completion: Completion,
) {
    let payload = Payload::Finished {
        request,
        completion,
    };
    environment.send(link, crate::environment::Side::Server, payload);
}
