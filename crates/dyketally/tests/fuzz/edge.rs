//! The edge of one node: callers' sessions, routes, and the links to homes.

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
use crate::environment::{ConnectionId, Environment, Happening, MEMBERS, NODES, Place, Side};
use crate::messages::{
    ClientAnswer, ClientMessage, Completion, Execute, Operation, Payload, SessionKey,
};
use crate::switches::Switch;

const DEADLINE: Duration = Duration::from_millis(250);
const BELIEVED_DEAD: Duration = Duration::from_millis(80);

/// What a caller asks for.
#[derive(Clone, Debug)]
pub enum Wish {
    Lookup {
        key: Key,
    },
    Write {
        entries: Vec<Entry>,
        repeat: Repeat,
    },
    /// A transaction of one statement an entry.
    Transaction {
        entries: Vec<Entry>,
    },
}

#[derive(Clone, Debug)]
pub struct Call {
    pub client: usize,
    /// Number of the caller's connection.
    pub connection: u64,
    pub request: RequestNumber,
    pub token: Option<SessionToken>,
    pub wish: Wish,
}

struct Request {
    call: Call,
    deadline: Timestamp,
    attempt: Attempt,
    choose_at: Option<Timestamp>,
    /// Statements of a transaction that are done.
    step: usize,
    transaction_name: String,
    /// Where it is: link, number on the link, database.
    at_home: Option<(ConnectionId, u64, usize)>,
    /// An attempt that may have changed data ended without an answer.
    may_have_run: bool,
}

struct Caller {
    connection: u64,
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
    /// Nodes that said that they are leaving.
    pub leaving: [bool; NODES],
    /// A belief, true or not, about the home of each database.
    pub believed_home: [Option<Place>; MEMBERS],
}

fn group_name() -> GroupName {
    GroupName::from("stock")
}

fn locality(zone: usize) -> Locality {
    Locality {
        region: "south".into(),
        zone: format!("zone-{zone}").as_str().into(),
    }
}

fn group_policy() -> GroupPolicy {
    let member = |member: usize| DatabasePolicy {
        name: member_name(member),
        address: ([127, 0, 0, 1], 1).into(),
        locality: locality(member),
        connection_limit: 5,
        slots: 2,
    };
    GroupPolicy {
        name: group_name(),
        members: (0..MEMBERS).map(member).collect(),
        status_statement: String::new(),
        ledger_table: String::new(),
    }
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
            believed_home: [None; MEMBERS],
        }
    }

    pub fn callers_with_work(&self) -> impl Iterator<Item = usize> {
        let busy = self.callers.iter();
        let busy = busy.filter(|(_, caller)| caller.request.is_some());
        busy.map(|(client, _)| *client)
    }

    pub fn callers(&self) -> impl Iterator<Item = usize> {
        self.callers.keys().copied()
    }

    /// A caller's connection is gone.
    pub fn hang_up(&mut self, environment: &mut Environment, client: usize) {
        let Some(caller) = self.callers.remove(&client) else {
            return;
        };
        let at_home = caller.request.as_ref().and_then(|request| request.at_home);
        if let Some((link, request, _)) = at_home {
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

    /// Tells sessions of two incarnations of a node apart.
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
            choose_at: None,
            step: 0,
            transaction_name: String::new(),
            at_home: None,
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
        let clients: Vec<_> = self.callers_with_work().collect();
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
            } else if request.choose_at.is_some_and(|at| at <= now) {
                self.advance(environment, client);
            }
        }
    }

    fn give_up(&mut self, environment: &mut Environment, client: usize) {
        let Some(request) = self.request(client) else {
            return;
        };
        let at_home = request.at_home.take();
        let in_doubt = at_home.is_some() && request.changes_data();
        request.may_have_run |= in_doubt;
        if let Some((link, request, member)) = at_home {
            environment.send(link, Side::Client, Payload::Cancel { request });
            self.suspect(environment, link, member);
        }
        self.fail(environment, client);
    }

    /// Answers a request that won't be tried again.
    fn fail(&mut self, environment: &mut Environment, client: usize) {
        let Some(caller) = self.callers.get_mut(&client) else {
            return;
        };
        let Some(request) = &caller.request else {
            return;
        };
        let in_doubt = request.may_have_run && !environment.has(Switch::UnknownToldNotRun);
        let answer = match (&request.call.wish, in_doubt) {
            (Wish::Lookup { .. }, _) => ClientAnswer::Lookup(LookupAnswer::Failed),
            (_, true) => ClientAnswer::Write(WriteOutcome::Unknown),
            (_, false) => ClientAnswer::Write(WriteOutcome::NotRun),
        };
        let in_transaction = matches!(request.call.wish, Wish::Transaction { .. });
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
        environment.after(300, Happening::ToClient(message));
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
        if request.at_home.is_some() {
            return;
        }
        request.choose_at = None;
        let lookup = matches!(request.call.wish, Wish::Lookup { .. });
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
            Route::Wait(until) => request.choose_at = Some(until),
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
        request.at_home = Some((link, number, member));
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

    /// The node that this edge takes for the home of a database.
    fn home_of(&self, now: Timestamp, member: usize) -> Place {
        if let Some(believed) = self.believed_home[member] {
            return believed;
        }
        let ranked = (0..NODES).map(|rank| (member + rank) % NODES);
        let alive = |node: &Place| self.dead_until[*node] <= now && !self.leaving[*node];
        ranked.clone().find(alive).unwrap_or(member)
    }

    fn suspect(&mut self, environment: &mut Environment, link: ConnectionId, member: usize) {
        let now = environment.now(self.place);
        let node = self.links.iter().find(|(_, known)| **known == link);
        if let Some(node) = node.map(|(node, _)| *node) {
            self.dead_until[node] = now + BELIEVED_DEAD;
        }
        self.believed_home[member] = None;
        self.table
            .unreachable(&group_name(), &member_name(member), now);
    }

    /// Takes what arrives on a link; false if it is none of the edge's.
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
            other => panic!("not for an edge: {other:?}"),
        }
        true
    }

    fn lose_link(&mut self, environment: &mut Environment, link: ConnectionId) {
        let affected: Vec<_> = self
            .callers
            .iter()
            .filter_map(|(client, caller)| {
                let (on, _, member) = caller.request.as_ref()?.at_home?;
                (on == link).then_some((*client, member))
            })
            .collect();
        let pinned: Vec<_> = affected.iter().map(|(_, member)| *member).collect();
        for member in pinned {
            self.suspect(environment, link, member);
        }
        self.links.retain(|_, known| *known != link);
        for (client, _) in affected {
            self.unknown(environment, client);
        }
    }

    fn finished(
        &mut self,
        environment: &mut Environment,
        link: ConnectionId,
        number: u64,
        completion: Completion,
    ) {
        let waiting = self.callers.iter().filter_map(|(client, caller)| {
            let (on, waits_for, member) = caller.request.as_ref()?.at_home?;
            (on == link).then_some((waits_for, *client, member))
        });
        let by_order = environment.has(Switch::RepliesMatchedByOrder);
        let found = match by_order {
            true => waiting.min(),
            false => waiting
                .into_iter()
                .find(|(waits_for, _, _)| *waits_for == number),
        };
        let Some((_, client, member)) = found else {
            return;
        };
        if let Some(request) = self.request(client) {
            request.at_home = None;
        }
        match completion {
            Completion::Done {
                seen,
                transaction,
                answer,
            } => {
                self.table.reachable(&group_name(), &member_name(member));
                self.done(environment, client, member, seen, transaction, answer);
            }
            Completion::Redirect { primary, term } => {
                self.redirected(environment, client, primary, term)
            }
            Completion::NotRun(reason) => self.not_run(environment, client, member, reason),
            Completion::RolledBack => self.fail(environment, client),
            Completion::Unknown => self.unknown(environment, client),
        }
    }

    fn done(
        &mut self,
        environment: &mut Environment,
        client: usize,
        member: usize,
        seen: Option<dyketally::group::LogPosition>,
        transaction: TransactionStatus,
        answer: Option<LookupAnswer>,
    ) {
        let Some(caller) = self.callers.get_mut(&client) else {
            return;
        };
        caller.session.done(&member_name(member), seen, transaction);
        let Some(request) = &mut caller.request else {
            return;
        };
        request.step += 1;
        let answer = match (&request.call.wish, answer) {
            (Wish::Lookup { .. }, Some(answer)) => ClientAnswer::Lookup(answer),
            // Only possible with replies matched by their order.
            (Wish::Lookup { .. }, None) => ClientAnswer::Lookup(LookupAnswer::Absent),
            (Wish::Transaction { entries }, _) if request.step < entries.len() + 2 => {
                return self.advance(environment, client);
            }
            _ => ClientAnswer::Write(WriteOutcome::Acknowledged),
        };
        self.answer(environment, client, answer);
    }

    fn redirected(
        &mut self,
        environment: &mut Environment,
        client: usize,
        primary: Option<usize>,
        term: Term,
    ) {
        let caller = self.callers.get_mut(&client);
        let Some(request) = caller.and_then(|caller| caller.request.as_mut()) else {
            return;
        };
        if request.step > 0 {
            return self.fail(environment, client);
        }
        let primary = primary.map(member_name);
        self.table
            .redirected(&group_name(), &mut request.attempt, primary, term);
        self.advance(environment, client);
    }

    fn not_run(
        &mut self,
        environment: &mut Environment,
        client: usize,
        member: usize,
        reason: NotRunReason,
    ) {
        let now = environment.now(self.place);
        let in_transaction = self.request(client).is_some_and(|request| request.step > 0);
        let elsewhere = matches!(reason, NotRunReason::Unreachable | NotRunReason::Leaving);
        if reason == NotRunReason::Leaving {
            let home = self.home_of(now, member);
            self.leaving[home] = true;
        }
        if in_transaction || !elsewhere {
            return self.fail(environment, client);
        }
        if reason == NotRunReason::Unreachable {
            self.table
                .unreachable(&group_name(), &member_name(member), now);
        }
        self.advance(environment, client);
    }

    /// The statement may have been run.
    fn unknown(&mut self, environment: &mut Environment, client: usize) {
        let again = environment.has(Switch::ResendAfterSend);
        let forgets = environment.has(Switch::EarlierAttemptForgotten);
        let Some(request) = self.request(client) else {
            return;
        };
        request.at_home = None;
        request.may_have_run |= request.changes_data() && !forgets;
        let repeatable = request.repeat() != Repeat::Never || again;
        if request.step == 0 && repeatable {
            return self.advance(environment, client);
        }
        request.may_have_run |= request.changes_data();
        self.fail(environment, client);
    }
}

impl Request {
    fn operation(&self) -> Operation {
        match &self.call.wish {
            Wish::Lookup { key } => Operation::Lookup { key: key.clone() },
            Wish::Write { entries, repeat } => Operation::Write {
                entries: entries.clone(),
                recorded: *repeat == Repeat::Recorded,
            },
            Wish::Transaction { entries } => match self.step.checked_sub(1) {
                None => Operation::Begin,
                Some(index) => match entries.get(index) {
                    Some(entry) => Operation::Add {
                        entry: entry.clone(),
                    },
                    None => Operation::Commit,
                },
            },
        }
    }

    /// Whether the statement that comes next changes data by itself.
    fn changes_data(&self) -> bool {
        self.operation().may_change_data()
    }

    fn repeat(&self) -> Repeat {
        match &self.call.wish {
            Wish::Lookup { .. } => Repeat::Repeatable,
            Wish::Write { repeat, .. } => *repeat,
            Wish::Transaction { .. } => Repeat::Never,
        }
    }
}
