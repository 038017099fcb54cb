//! The edge of one node: callers' sessions, choice of routes, and links to homes.

mod completions;
mod request;

use std::collections::BTreeMap;
use std::time::Duration;

use dyketally::group::Term;
use dyketally::history::{Entry, Key, LookupAnswer, RequestNumber, WriteOutcome};
use dyketally::identifiers::{GroupName, Locality};
use dyketally::outcome::NotRunReason;
use dyketally::policy::{Access, DatabasePolicy, GroupPolicy, Repeat};
use dyketally::routing::{Attempt, Route, RouteRequest, RouteSettings, RouteTable};
use dyketally::session::{Freshness, Session, SessionToken, TransactionStatus};
use dyketally::time::Timestamp;

use crate::database::{member_name, member_of};
use crate::environment::{ConnectionId, Environment, MEMBERS, NODES, Place, ScheduledEvent, Side};
use crate::messages::{
    ClientAnswer, ClientMessage, Completion, Execute, Operation, Payload, SessionKey,
};
use crate::switches::Switch;
use request::{Request, group_name, group_policy, locality};

pub use request::{Call, CallKind};

/// Time from a call's arrival to its deadline.
const DEADLINE: Duration = Duration::from_millis(400);
/// Time during which a node is treated as dead after a request to it timed out or its link was lost.
const TREATED_AS_DEAD: Duration = Duration::from_millis(80);

struct Caller {
    connection: u64,
    /// Number of the caller's session.
    number: u64,
    session: Session,
    request: Option<Request>,
}

pub struct Edge {
    place: Place,
    group: GroupPolicy,
    locality: Locality,
    table: RouteTable,
    callers: BTreeMap<usize, Caller>,
    links: BTreeMap<Place, ConnectionId>,
    next_request: u64,
    next_session: u64,
    dead_until: [Timestamp; NODES],
    /// Whether each node has announced that it is leaving.
    pub leaving: [bool; NODES],
    /// Node that the edge treats as the home of each database, right or wrong; none to choose by rank.
    pub home_override: [Option<Place>; MEMBERS],
}

impl Edge {
    pub fn new(place: Place) -> Self {
        Edge {
            place,
            group: group_policy(),
            locality: locality(place),
            table: RouteTable::new(RouteSettings::default()),
            callers: BTreeMap::new(),
            links: BTreeMap::new(),
            next_request: 0,
            next_session: 0,
            dead_until: [Timestamp::ZERO; NODES],
            leaving: [false; NODES],
            home_override: [None; MEMBERS],
        }
    }

    pub fn callers_with_requests(&self) -> impl Iterator<Item = usize> {
        let busy = self.callers.iter();
        let busy = busy.filter(|(_, caller)| caller.request.is_some());
        busy.map(|(client, _)| *client)
    }

    pub fn callers(&self) -> impl Iterator<Item = usize> {
        self.callers.keys().copied()
    }

    /// Handles the end of a caller's connection: cancels its request and ends its session.
    pub fn hang_up(&mut self, environment: &mut Environment, client: usize) {
        let Some(caller) = self.callers.remove(&client) else {
            return;
        };
        let awaited = caller.request.as_ref().and_then(|request| request.awaited);
        if let Some((link, request, _)) = awaited {
            environment.send(link, Side::Client, Payload::Cancel { request });
        }
        self.end_session(environment, caller.number);
    }

    fn end_session(&mut self, environment: &mut Environment, number: u64) {
        let session = SessionKey {
            edge: self.session_edge(environment),
            number,
        };
        for link in self.links.values() {
            environment.send(*link, Side::Client, Payload::EndSession { session });
        }
    }

    /// Identifies this edge in session keys, with a different number for each incarnation of the node.
    fn session_edge(&self, environment: &Environment) -> usize {
        self.place + NODES * environment.incarnations[self.place] as usize
    }

    pub fn call(&mut self, environment: &mut Environment, call: Call, turned_away: bool) {
        let (client, connection) = (call.client, call.connection);
        let known = self.callers.get(&client).map(|caller| caller.connection);
        if known != Some(connection) {
            self.hang_up(environment, client);
            self.next_session += 1;
            let mut session = Session::new(group_name());
            if let Some(token) = &call.token {
                session.offer(token);
            }
            let caller = Caller {
                connection,
                number: self.next_session,
                session,
                request: None,
            };
            self.callers.insert(client, caller);
        }
        let request = Request {
            deadline: environment.now(self.place) + DEADLINE,
            attempt: Attempt::default(),
            choose_route_at: None,
            step: 0,
            transaction_name: String::new(),
            awaited: None,
            may_have_run: false,
            call,
        };
        if let Some(caller) = self.callers.get_mut(&client) {
            caller.request = Some(request);
        }
        if turned_away {
            return self.answer(environment, client, ClientAnswer::GoElsewhere);
        }
        self.advance(environment, client);
    }

    pub fn tick(&mut self, environment: &mut Environment) {
        let now = environment.now(self.place);
        let clients: Vec<_> = self.callers_with_requests().collect();
        for client in clients {
            let request = self
                .callers
                .get(&client)
                .and_then(|caller| caller.request.as_ref());
            let Some(request) = request else {
                continue;
            };
            if request.deadline <= now {
                self.give_up(environment, client);
            } else if request.choose_route_at.is_some_and(|at| at <= now) {
                self.advance(environment, client);
            }
        }
    }

    fn give_up(&mut self, environment: &mut Environment, client: usize) {
        let Some(request) = self.request(client) else {
            return;
        };
        let awaited = request.awaited.take();
        let in_doubt = awaited.is_some() && request.changes_data();
        request.may_have_run |= in_doubt;
        if let Some((link, request, member)) = awaited {
            environment.send(link, Side::Client, Payload::Cancel { request });
            self.suspect(environment, link, member);
        }
        self.fail(environment, client);
    }

    /// Answers a request that is not retried: failed, not run or of unknown outcome.
    fn fail(&mut self, environment: &mut Environment, client: usize) {
        let Some(caller) = self.callers.get_mut(&client) else {
            return;
        };
        let Some(request) = &caller.request else {
            return;
        };
        let in_doubt = request.may_have_run && !environment.has(Switch::UnknownToldNotRun);
        let answer = match (&request.call.kind, in_doubt) {
            (CallKind::Lookup { .. }, _) => ClientAnswer::Lookup(LookupAnswer::Failed),
            (_, true) => ClientAnswer::Write(WriteOutcome::Unknown),
            (_, false) => ClientAnswer::Write(WriteOutcome::NotRun),
        };
        let in_transaction = matches!(request.call.kind, CallKind::Transaction { .. });
        caller.session.transaction_lost();
        let number = caller.number;
        if in_transaction {
            self.end_session(environment, number);
        }
        self.answer(environment, client, answer);
    }

    fn answer(&mut self, environment: &mut Environment, client: usize, answer: ClientAnswer) {
        let Some(caller) = self.callers.get_mut(&client) else {
            return;
        };
        let Some(request) = caller.request.take() else {
            return;
        };
        let message = ClientMessage {
            client,
            connection: caller.connection,
            request: request.call.request,
            answer,
            token: caller.session.token(),
        };
        environment.after(300, ScheduledEvent::ToClient(message));
    }

    fn request(&mut self, client: usize) -> Option<&mut Request> {
        self.callers.get_mut(&client)?.request.as_mut()
    }

    /// Chooses a database and sends the request's next statement to its home.
    fn advance(&mut self, environment: &mut Environment, client: usize) {
        let now = environment.now(self.place);
        let Some(caller) = self.callers.get_mut(&client) else {
            return;
        };
        let Some(request) = &mut caller.request else {
            return;
        };
        if request.awaited.is_some() {
            return;
        }
        request.choose_route_at = None;
        let lookup = matches!(request.call.kind, CallKind::Lookup { .. });
        let mut freshness = caller.session.freshness();
        let no_token = caller.session.token().is_none();
        if environment.has(Switch::TokenIgnored)
            || (no_token && environment.has(Switch::NoTokenAnyReplica))
        {
            freshness = Freshness::Any;
        }
        let route_request = RouteRequest {
            group: &self.group,
            access: if lookup { Access::Read } else { Access::Write },
            freshness,
            locality: &self.locality,
        };
        let route = match caller.session.pin() {
            Some(pin) => Route::Send(pin.database.clone()),
            None => self.table.choose(route_request, &mut request.attempt, now),
        };
        match route {
            Route::Send(database) => {
                self.send(environment, client, member_of(&database), freshness)
            }
            Route::Wait(until) => request.choose_route_at = Some(until),
            Route::GiveUp(_) => self.fail(environment, client),
        }
    }

    fn send(
        &mut self,
        environment: &mut Environment,
        client: usize,
        member: usize,
        freshness: Freshness,
    ) {
        let now = environment.now(self.place);
        let home = self.home_of(now, member);
        let place = self.place;
        let link = *self
            .links
            .entry(home)
            .or_insert_with(|| environment.connect(place, home));
        self.next_request += 1;
        let number = self.next_request;
        let edge = self.session_edge(environment);
        let Some(caller) = self.callers.get_mut(&client) else {
            return;
        };
        let Some(request) = &mut caller.request else {
            return;
        };
        request.awaited = Some((link, number, member));
        let operation = request.operation();
        if matches!(operation, Operation::Begin) {
            request.transaction_name = format!("transaction-{}", environment.unique());
        }
        let execute = Execute {
            request: number,
            member,
            client,
            session: SessionKey {
                edge,
                number: caller.number,
            },
            transaction: caller.session.pin().map(|pin| pin.number),
            transaction_name: request.transaction_name.clone(),
            write: request.changes_data().then_some(request.call.request),
            operation,
            freshness,
            time_left: request.deadline.saturating_since(now),
        };
        environment.send(link, Side::Client, Payload::Execute(Box::new(execute)));
    }

    /// The node that this edge treats as the home of a database.
    fn home_of(&self, now: Timestamp, member: usize) -> Place {
        if let Some(home) = self.home_override[member] {
            return home;
        }
        let ranked = (0..NODES).map(|rank| (member + rank) % NODES);
        let alive = |node: &Place| self.dead_until[*node] <= now && !self.leaving[*node];
        ranked.clone().find(alive).unwrap_or(member)
    }

    fn suspect(&mut self, environment: &mut Environment, link: ConnectionId, member: usize) {
        let now = environment.now(self.place);
        let node = self.links.iter().find(|(_, known)| **known == link);
        if let Some(node) = node.map(|(node, _)| *node) {
            self.dead_until[node] = now + TREATED_AS_DEAD;
        }
        self.home_override[member] = None;
        self.table
            .unreachable(&group_name(), &member_name(member), now);
    }

    /// Handles a payload from a home; returns false if the connection is not one of the edge's links.
    pub fn handle(
        &mut self,
        environment: &mut Environment,
        link: ConnectionId,
        payload: &Payload,
    ) -> bool {
        if !self.links.values().any(|known| *known == link) {
            return false;
        }
        match payload {
            Payload::Finished {
                request,
                completion,
            } => {
                self.finished(environment, link, *request, completion.clone());
            }
            Payload::Closed => self.lose_link(environment, link),
            other => panic!("an edge doesn't handle {other:?}"),
        }
        true
    }
}
