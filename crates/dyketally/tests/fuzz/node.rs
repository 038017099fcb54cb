//! One node: its edge, its homes, its configuration follower and its planned stop.

use std::collections::BTreeSet;
use std::time::Duration;

use dyketally::drain::{NodeDrain, NodeDrainAction, NodeDrainPhase, NodeDrainSettings};
use dyketally::outcome::NotRunReason;

use crate::configuration::Follower;
use crate::edge::{Call, Edge};
use crate::environment::{Arrived, Environment, Place, Side};
use crate::home::{Home, JobId, finish};
use crate::messages::{Completion, Payload};

const DRAIN: NodeDrainSettings = NodeDrainSettings {
    announce_wait: Duration::from_millis(30),
    idle_caller_wait: Duration::from_millis(100),
    deadline: Duration::from_millis(2_000),
};
/// Interval of a node's ticks, in microseconds.
pub const TICK: u64 = 1_000;

/// What a planned stop waits for before the node exits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InFlight {
    /// A caller's request at this node's edge.
    Caller(usize),
    /// A request at one of this node's homes.
    Job(JobId),
    /// Connections of callers, including idle ones.
    Callers,
}

/// What a node requests of the simulation during a planned stop.
pub enum NodeRequest {
    AnnounceLeaving,
    CloseIdleCallers,
    /// Ends the process while `cut_off` requests are still in flight.
    Exit {
        cut_off: usize,
    },
}

pub struct Node {
    pub place: Place,
    pub edge: Edge,
    pub home: Home,
    pub follower: Follower,
    drain: NodeDrain<InFlight>,
    known_in_flight: BTreeSet<InFlight>,
}

impl Node {
    pub fn new(place: Place) -> Self {
        Node {
            place,
            edge: Edge::new(place),
            home: Home::new(place),
            follower: Follower::new(place),
            drain: NodeDrain::new(DRAIN),
            known_in_flight: BTreeSet::new(),
        }
    }

    pub fn stop(&mut self, environment: &Environment) {
        self.drain.stop(environment.now(self.place));
    }

    pub fn peers_informed(&mut self) {
        self.drain.peers_informed();
    }

    pub fn is_leaving(&self) -> bool {
        self.drain.phase() != NodeDrainPhase::Serving
    }

    pub fn call(&mut self, environment: &mut Environment, call: Call) {
        let turned_away = !self.drain.accepts_new_work();
        self.edge.call(environment, call, turned_away);
    }

    pub fn arrived(&mut self, environment: &mut Environment, arrived: Arrived) {
        let Arrived {
            connection,
            side,
            payload,
            ..
        } = arrived;
        match (side, payload) {
            (Side::Client, payload) => {
                let _ = self.edge.handle(environment, connection, &payload)
                    || self.home.handle(environment, connection, &payload)
                    || self.follower.handle(environment, connection, &payload);
            }
            (Side::Server, Payload::Execute(execute)) => {
                let fresh = execute.transaction.is_none();
                if fresh && !self.drain.accepts_new_work() {
                    let completion = Completion::NotRun(NotRunReason::Leaving);
                    return finish(environment, connection, execute.request, completion);
                }
                self.home.execute(environment, connection, *execute);
            }
            (Side::Server, Payload::Cancel { request }) => {
                self.home.cancel(environment, connection, request);
            }
            (Side::Server, Payload::EndSession { session }) => {
                self.home.end_session(environment, session);
            }
            (Side::Server, Payload::Closed) => self.home.lose_link(environment, connection),
            (Side::Server, other) => panic!("a node doesn't handle {other:?}"),
        }
    }

    pub fn tick(&mut self, environment: &mut Environment) -> Vec<NodeRequest> {
        self.edge.tick(environment);
        self.home.tick(environment);
        self.follower.tick(environment);
        if !self.is_leaving() {
            return Vec::new();
        }
        self.track_in_flight();
        let actions = self.drain.poll(environment.now(self.place));
        actions
            .into_iter()
            .filter_map(|action| match action {
                NodeDrainAction::AnnounceLeaving => Some(NodeRequest::AnnounceLeaving),
                NodeDrainAction::CloseIdleCallers => Some(NodeRequest::CloseIdleCallers),
                NodeDrainAction::Exit => Some(NodeRequest::Exit {
                    cut_off: self.in_flight().len(),
                }),
                NodeDrainAction::TurnCallersAway | NodeDrainAction::Cut { .. } => None,
            })
            .collect()
    }

    /// Requests in flight at this node's edge and homes.
    pub fn in_flight(&self) -> BTreeSet<InFlight> {
        let callers = self.edge.callers_with_requests().map(InFlight::Caller);
        callers.chain(self.home.jobs().map(InFlight::Job)).collect()
    }

    fn track_in_flight(&mut self) {
        let in_flight = self.in_flight();
        for begun in in_flight.difference(&self.known_in_flight) {
            self.drain.begin(*begun);
        }
        for ended in self.known_in_flight.difference(&in_flight) {
            self.drain.end(ended);
        }
        self.known_in_flight = in_flight;
        if self.edge.callers().next().is_some() {
            self.drain.begin(InFlight::Callers);
        } else {
            self.drain.end(&InFlight::Callers);
        }
    }
}
