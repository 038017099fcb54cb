//! One node: its edge, its homes and its planned stop.

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
pub const TICK: u64 = 1_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    Caller(usize),
    Job(JobId),
    /// Connections of callers, whether or not they have work.
    Callers,
}

/// What a node asks of the world.
pub enum NodeRequest {
    AnnounceLeaving,
    CloseIdleCallers,
    Exit { cut_off: usize },
}

pub struct Node {
    pub place: Place,
    pub edge: Edge,
    pub home: Home,
    pub follower: Follower,
    drain: NodeDrain<Work>,
    known_work: BTreeSet<Work>,
}

impl Node {
    pub fn new(place: Place) -> Self {
        Node {
            place,
            edge: Edge::new(place),
            home: Home::new(place),
            follower: Follower::new(place),
            drain: NodeDrain::new(DRAIN),
            known_work: BTreeSet::new(),
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
            (Side::Server, other) => panic!("not for a node: {other:?}"),
        }
    }

    pub fn tick(&mut self, environment: &mut Environment) -> Vec<NodeRequest> {
        self.edge.tick(environment);
        self.home.tick(environment);
        self.follower.tick(environment);
        if !self.is_leaving() {
            return Vec::new();
        }
        self.note_work();
        let actions = self.drain.poll(environment.now(self.place));
        actions
            .into_iter()
            .filter_map(|action| match action {
                NodeDrainAction::AnnounceLeaving => Some(NodeRequest::AnnounceLeaving),
                NodeDrainAction::CloseIdleCallers => Some(NodeRequest::CloseIdleCallers),
                NodeDrainAction::Exit => Some(NodeRequest::Exit {
                    cut_off: self.work().len(),
                }),
                NodeDrainAction::TurnCallersAway | NodeDrainAction::Cut { .. } => None,
            })
            .collect()
    }

    /// Requests in flight at this node.
    pub fn work(&self) -> BTreeSet<Work> {
        let callers = self.edge.callers_with_work().map(Work::Caller);
        callers.chain(self.home.jobs().map(Work::Job)).collect()
    }

    fn note_work(&mut self) {
        let work = self.work();
        for begun in work.difference(&self.known_work) {
            self.drain.begin(*begun);
        }
        for ended in self.known_work.difference(&work) {
            self.drain.end(ended);
        }
        self.known_work = work;
        if self.edge.callers().next().is_some() {
            self.drain.begin(Work::Callers);
        } else {
            self.drain.end(&Work::Callers);
        }
    }
}
