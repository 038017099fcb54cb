//! Simulated clock, processes and network. Connections deliver in order; a cut or a frozen
//! process delays what is under way, and a kill may lose it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use dyketally::history::Event;
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::configuration::NodeMessage;
use crate::messages::{ClientMessage, Payload, Replicate};
use crate::switches::Switch;

pub const NODES: usize = 3;
pub const MEMBERS: usize = 3;
pub const OPERATORS: usize = 2;
/// The platform's key-value service.
pub const SERVICE: Place = NODES + MEMBERS;
pub const PLACES: usize = SERVICE + 1 + OPERATORS;

/// A process: nodes come first, then databases, the key-value service and the operators' tools. Node `n` and database `n` share zone `n`.
pub type Place = usize;

pub fn operator_place(operator: usize) -> Place {
    SERVICE + 1 + operator
}

pub fn database_place(member: usize) -> Place {
    NODES + member
}

/// What runs at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Node,
    Database(usize),
    Service,
    Operator(usize),
}

impl Process {
    pub fn at(place: Place) -> Self {
        match place {
            place if place < NODES => Process::Node,
            place if place < SERVICE => Process::Database(place - NODES),
            SERVICE => Process::Service,
            place => Process::Operator(place - operator_place(0)),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Client,
    Server,
}

impl Side {
    pub fn other(self) -> Side {
        match self {
            Side::Client => Side::Server,
            Side::Server => Side::Client,
        }
    }
}

struct Connection {
    places: [Place; 2],
    open: [bool; 2],
    under_way: [VecDeque<Payload>; 2],
    last_arrival: [u64; 2],
}

/// Something that is due at a time.
pub enum Happening {
    /// The next payload towards `to` arrives.
    Arrival {
        connection: ConnectionId,
        to: Side,
    },
    Tick {
        place: Place,
        incarnation: u64,
    },
    Replicate {
        from: Place,
        to: Place,
        message: Box<Replicate>,
    },
    ToClient(ClientMessage),
    Restart {
        place: Place,
    },
    Thaw {
        place: Place,
    },
    /// From node to node.
    Datagram {
        from: Place,
        to: Place,
        message: Box<NodeMessage>,
    },
    /// The machine list tells a node that a database is leaving.
    LeavingNotice {
        place: Place,
        member: usize,
    },
    ClientsTick,
}

impl Happening {
    /// The process that must run to notice it, for what is not a connection's matter.
    pub fn reader(&self) -> Option<Place> {
        match self {
            Happening::Replicate { to, .. } | Happening::Datagram { to, .. } => Some(*to),
            Happening::LeavingNotice { place, .. } => Some(*place),
            _ => None,
        }
    }
}

/// A payload for one end of a connection.
pub struct Arrived {
    pub place: Place,
    pub connection: ConnectionId,
    pub side: Side,
    pub payload: Payload,
}

/// What takes long on its way to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// The next statement that changes data, with all that follows it on its connection.
    Change,
    /// What follows the next statement that changes data.
    BehindChange,
}

struct HoldBack {
    held: Held,
    micros: u64,
    /// The connection of the change, once it is known.
    connection: Option<ConnectionId>,
}

pub struct Environment {
    now: u64,
    due: BTreeMap<(u64, u64), Happening>,
    sequence: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    cuts: BTreeSet<(Place, Place)>,
    frozen: BTreeSet<Place>,
    pub incarnations: [u64; PLACES],
    pub alive: [bool; PLACES],
    clock_offsets: [Duration; PLACES],
    pub random: StdRng,
    pub history: Vec<Event>,
    pub switch: Option<Switch>,
    unique: u64,
    hold_backs: BTreeMap<Place, HoldBack>,
}

const RETRY_DELIVERY: u64 = 1_000;
const LONGEST_STALL: u64 = 120_000;

impl Environment {
    pub fn new(seed: u64, switch: Option<Switch>) -> Self {
        Environment {
            now: 1_000_000,
            due: BTreeMap::new(),
            sequence: 0,
            connections: BTreeMap::new(),
            cuts: BTreeSet::new(),
            frozen: BTreeSet::new(),
            incarnations: [0; PLACES],
            alive: [true; PLACES],
            clock_offsets: [Duration::ZERO; PLACES],
            random: StdRng::seed_from_u64(seed),
            history: Vec::new(),
            switch,
            unique: 0,
            hold_backs: BTreeMap::new(),
        }
    }

    pub fn has(&self, switch: Switch) -> bool {
        self.switch == Some(switch)
    }

    /// True time, which no process sees.
    pub fn world_time(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    /// Time on the clock of `place`.
    pub fn now(&self, place: Place) -> Timestamp {
        self.world_time() + self.clock_offsets[place]
    }

    pub fn jump_clock(&mut self, place: Place, by: Duration) {
        self.clock_offsets[place] += by;
    }

    pub fn unique(&mut self) -> u64 {
        self.unique += 1;
        self.unique
    }

    pub fn record(&mut self, event: Event) {
        self.history.push(event);
    }

    pub fn after(&mut self, micros: u64, happening: Happening) {
        self.sequence += 1;
        self.due
            .insert((self.now + micros, self.sequence), happening);
    }

    /// Advances to the next happening that is due by `until`.
    pub fn next(&mut self, until: Timestamp) -> Option<Happening> {
        let ((at, _), _) = self.due.first_key_value()?;
        if *at > until.as_micros() {
            self.now = self.now.max(until.as_micros());
            return None;
        }
        let ((at, _), happening) = self.due.pop_first()?;
        self.now = self.now.max(at);
        Some(happening)
    }

    pub fn cut(&mut self, from: Place, to: Place) {
        if from != to {
            self.cuts.insert((from, to));
        }
    }

    pub fn heal_cuts(&mut self) {
        self.cuts.clear();
    }

    pub fn reaches(&self, from: Place, to: Place) -> bool {
        !self.cuts.contains(&(from, to))
    }

    pub fn freeze(&mut self, place: Place) {
        self.frozen.insert(place);
    }

    pub fn thaw(&mut self, place: Place) {
        self.frozen.remove(&place);
    }

    pub fn is_running(&self, place: Place) -> bool {
        self.alive[place] && !self.frozen.contains(&place)
    }

    pub fn is_frozen(&self, place: Place) -> bool {
        self.frozen.contains(&place)
    }

    pub fn latency(&mut self, from: Place, to: Place) -> u64 {
        if from % NODES == to % NODES {
            self.random.random_range(50..150)
        } else {
            self.random.random_range(400..1_600)
        }
    }

    pub fn hold_back(&mut self, place: Place, held: Held, micros: u64) {
        let connection = None;
        let hold_back = HoldBack {
            held,
            micros,
            connection,
        };
        self.hold_backs.insert(place, hold_back);
    }

    fn held_back(&mut self, id: ConnectionId, place: Place, payload: &Payload) -> u64 {
        let Some(hold_back) = self.hold_backs.get_mut(&place) else {
            return 0;
        };
        let due = match (hold_back.held, payload) {
            _ if hold_back.connection.is_some() => hold_back.connection == Some(id),
            (held, Payload::Run(labelled)) if labelled.statement.may_change_data() => {
                hold_back.connection = Some(id);
                held == Held::Change
            }
            _ => false,
        };
        let micros = hold_back.micros;
        if due {
            self.hold_backs.remove(&place);
        }
        if due { micros } else { 0 }
    }

    /// Unlike what a connection carries, datagrams overtake each other.
    pub fn datagram_delay(&mut self, from: Place, to: Place) -> u64 {
        self.latency(from, to) + self.stall()
    }

    pub fn connect(&mut self, client: Place, server: Place) -> ConnectionId {
        let id = ConnectionId(self.unique());
        let connection = Connection {
            places: [client, server],
            open: [true, self.alive[server]],
            under_way: [VecDeque::new(), VecDeque::new()],
            last_arrival: [0; 2],
        };
        self.connections.insert(id, connection);
        if !self.alive[server] {
            self.push(id, Side::Client, Payload::Closed);
        }
        id
    }

    pub fn send(&mut self, connection: ConnectionId, from: Side, payload: Payload) {
        let open = self.connections.get(&connection);
        if open.is_some_and(|connection| connection.open[from as usize]) {
            self.push(connection, from.other(), payload);
        }
    }

    /// Closes one end; the other learns of it behind what was sent before.
    pub fn close(&mut self, connection: ConnectionId, side: Side) {
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        if std::mem::replace(&mut known.open[side as usize], false) {
            self.push(connection, side.other(), Payload::Closed);
        }
    }

    /// Now and then something takes long: a retransmission, or a process that is not scheduled.
    fn stall(&mut self) -> u64 {
        match self.random.random_ratio(1, 40) {
            true => self.random.random_range(0..LONGEST_STALL),
            false => 0,
        }
    }

    fn push(&mut self, id: ConnectionId, to: Side, payload: Payload) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let [client, server] = connection.places;
        let latency = match to {
            Side::Client => self.latency(server, client),
            Side::Server => self.latency(client, server),
        };
        let place = match to {
            Side::Client => client,
            Side::Server => server,
        };
        let held = self.held_back(id, place, &payload);
        let arrival = self.now + latency + self.stall() + held;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let arrival = arrival.max(connection.last_arrival[to as usize]);
        connection.last_arrival[to as usize] = arrival;
        connection.under_way[to as usize].push_back(payload);
        let connection = id;
        self.after(arrival - self.now, Happening::Arrival { connection, to });
    }

    /// Takes the payload that arrives, or puts the arrival off.
    pub fn arrive(&mut self, id: ConnectionId, to: Side) -> Option<Arrived> {
        let connection = self.connections.get(&id)?;
        let (place, sender) = (
            connection.places[to as usize],
            connection.places[to.other() as usize],
        );
        if self.frozen.contains(&place) || !self.reaches(sender, place) {
            self.after(RETRY_DELIVERY, Happening::Arrival { connection: id, to });
            return None;
        }
        let connection = self.connections.get_mut(&id)?;
        let payload = connection.under_way[to as usize].pop_front()?;
        if !connection.open[to as usize] {
            return None;
        }
        if matches!(payload, Payload::Closed) {
            connection.open[to as usize] = false;
        }
        Some(Arrived {
            place,
            connection: id,
            side: to,
            payload,
        })
    }

    /// Ends a process: what was under way to it is lost, what it sent may be.
    pub fn kill(&mut self, place: Place) {
        self.alive[place] = false;
        self.frozen.remove(&place);
        let ends: Vec<_> = self
            .connections
            .iter()
            .flat_map(|(id, connection)| {
                [Side::Client, Side::Server]
                    .into_iter()
                    .filter(|side| connection.places[*side as usize] == place)
                    .filter(|side| connection.open[*side as usize])
                    .map(|side| (*id, side))
                    .collect::<Vec<_>>()
            })
            .collect();
        for (id, side) in ends {
            self.lose_some(id, side.other());
            self.close(id, side);
        }
    }

    fn lose_some(&mut self, id: ConnectionId, to: Side) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let under_way = &mut connection.under_way[to as usize];
        let kept = self.random.random_range(0..=under_way.len());
        under_way.truncate(kept);
    }

    pub fn restart(&mut self, place: Place) {
        self.alive[place] = true;
        self.incarnations[place] += 1;
    }
}
