//! Simulated clocks, processes and network. Connections deliver in order. A cut link or a frozen process delays
//! messages in transit. When a process is killed, messages to it are lost, and the last messages from it may be. Plain
//! integers that hold times are in microseconds.

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

/// Number of a process: nodes come first, then databases, the key-value service and the operators' tools. Node `n` and
/// database `n` are in zone `n`.
pub type Place = usize;

pub fn operator_place(operator: usize) -> Place {
    SERVICE + 1 + operator
}

pub fn database_place(member: usize) -> Place {
    NODES + member
}

/// The kind of process at a place.
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
    // Each array is indexed by `Side`: queues and arrival times by the receiving side.
    places: [Place; 2],
    open: [bool; 2],
    under_way: [VecDeque<Payload>; 2],
    last_arrival: [u64; 2],
}

/// An event that the simulation processes at its due time.
pub enum ScheduledEvent {
    /// The next payload to side `to` of the connection arrives.
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
    /// A datagram from one node to another.
    Datagram {
        from: Place,
        to: Place,
        message: Box<NodeMessage>,
    },
    /// A node receives the notice, from the machine list, that a database is leaving.
    LeavingNotice {
        place: Place,
        member: usize,
    },
    ClientsTick,
}

impl ScheduledEvent {
    /// The process that receives the event and must be running to process it; none for events on connections and for
    /// those of the simulation itself.
    pub fn receiver(&self) -> Option<Place> {
        match self {
            ScheduledEvent::Replicate { to, .. } | ScheduledEvent::Datagram { to, .. } => Some(*to),
            ScheduledEvent::LeavingNotice { place, .. } => Some(*place),
            _ => None,
        }
    }
}

/// A payload that has arrived at one end of a connection.
pub struct Arrived {
    pub place: Place,
    pub connection: ConnectionId,
    pub side: Side,
    pub payload: Payload,
}

/// Which messages to a database are delivered late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DelayTarget {
    /// The next statement that changes data, and all later messages on its connection.
    Change,
    /// The messages after the next statement that changes data, on the same connection.
    AfterChange,
}

/// A delay that applies once, to messages for one database.
struct DeliveryDelay {
    target: DelayTarget,
    micros: u64,
    /// The connection on which the statement that changes data was sent; none before that.
    connection: Option<ConnectionId>,
}

pub struct Environment {
    now: u64,
    due: BTreeMap<(u64, u64), ScheduledEvent>,
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
    delivery_delays: BTreeMap<Place, DeliveryDelay>,
}

/// Time until another try to deliver over a cut link or to a frozen process, in microseconds.
const RETRY_DELIVERY: u64 = 1_000;
/// Upper bound of the random extra delay of a message, in microseconds.
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
            delivery_delays: BTreeMap::new(),
        }
    }

    pub fn has(&self, switch: Switch) -> bool {
        self.switch == Some(switch)
    }

    /// The simulation's own time, which is independent of the processes' clocks.
    pub fn world_time(&self) -> Timestamp {
        Timestamp::from_micros(self.now)
    }

    /// Time by the clock of the process at `place`.
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

    pub fn after(&mut self, micros: u64, event: ScheduledEvent) {
        self.sequence += 1;
        self.due.insert((self.now + micros, self.sequence), event);
    }

    /// Advances to the next event that is due by `until`, or to `until` if there is none.
    pub fn next(&mut self, until: Timestamp) -> Option<ScheduledEvent> {
        let ((at, _), _) = self.due.first_key_value()?;
        if *at > until.as_micros() {
            self.now = self.now.max(until.as_micros());
            return None;
        }
        let ((at, _), event) = self.due.pop_first()?;
        self.now = self.now.max(at);
        Some(event)
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

    pub fn delay_delivery(&mut self, place: Place, target: DelayTarget, micros: u64) {
        let connection = None;
        let delay = DeliveryDelay {
            target,
            micros,
            connection,
        };
        self.delivery_delays.insert(place, delay);
    }

    fn delivery_delay(&mut self, id: ConnectionId, place: Place, payload: &Payload) -> u64 {
        let Some(delay) = self.delivery_delays.get_mut(&place) else {
            return 0;
        };
        let due = match (delay.target, payload) {
            _ if delay.connection.is_some() => delay.connection == Some(id),
            (target, Payload::Run(labelled)) if labelled.statement.may_change_data() => {
                delay.connection = Some(id);
                target == DelayTarget::Change
            }
            _ => false,
        };
        let micros = delay.micros;
        if due {
            self.delivery_delays.remove(&place);
        }
        if due { micros } else { 0 }
    }

    /// Random delay of a datagram, in microseconds. Unlike messages on a connection, datagrams may overtake each other.
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

    /// Closes one end; the other end receives [`Payload::Closed`] after all messages that were sent before.
    pub fn close(&mut self, connection: ConnectionId, side: Side) {
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        if std::mem::replace(&mut known.open[side as usize], false) {
            self.push(connection, side.other(), Payload::Closed);
        }
    }

    /// Random extra delay of a message, for 1 in 40: it stands for a retransmission or a process that isn't scheduled.
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
        let extra = self.delivery_delay(id, place, &payload);
        let arrival = self.now + latency + self.stall() + extra;
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let arrival = arrival.max(connection.last_arrival[to as usize]);
        connection.last_arrival[to as usize] = arrival;
        connection.under_way[to as usize].push_back(payload);
        let connection = id;
        self.after(
            arrival - self.now,
            ScheduledEvent::Arrival { connection, to },
        );
    }

    /// Takes the next payload to side `to`, or postpones the arrival if the link is cut or the receiver is frozen.
    pub fn arrive(&mut self, id: ConnectionId, to: Side) -> Option<Arrived> {
        let connection = self.connections.get(&id)?;
        let (place, sender) = (
            connection.places[to as usize],
            connection.places[to.other() as usize],
        );
        if self.frozen.contains(&place) || !self.reaches(sender, place) {
            self.after(
                RETRY_DELIVERY,
                ScheduledEvent::Arrival { connection: id, to },
            );
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

    /// Ends a process. Messages to it are lost; of the messages that it sent, a random number of the last ones is lost.
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
