//! Membership on a simulated network and clock. Everything follows from one seed.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dyketally::identifiers::{Locality, NodeName};
use dyketally::membership::{
    Addresses, Config, Event, Incarnation, MemberState, Membership, Output, Record, encode,
};
use dyketally::placement::NORMAL_WEIGHT;
use dyketally::policy::Revision;
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Most datagrams that are kept for a frozen process, as in a socket buffer.
const SOCKET_BUFFER: usize = 64;

const LATENCY_IN_ZONE: Duration = Duration::from_micros(300);
const LATENCY_IN_REGION: Duration = Duration::from_micros(1_500);
const LATENCY_BETWEEN_REGIONS: Duration = Duration::from_millis(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Running,
    Frozen,
    Killed,
}

pub struct Node {
    pub membership: Membership,
    pub locality: Locality,
    address: SocketAddr,
    due: Option<Timestamp>,
    pub process: Process,
    pub events: Vec<(Timestamp, Event)>,
    pub bytes_sent: usize,
    pub bytes_received: usize,
    pub longest_datagram: usize,
    buffer: Vec<(SocketAddr, Vec<u8>)>,
}

struct Datagram {
    from: SocketAddr,
    to: SocketAddr,
    bytes: Vec<u8>,
}

pub struct Simulation {
    pub now: Timestamp,
    pub nodes: BTreeMap<NodeName, Node>,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram arrives twice.
    pub duplication: f64,
    /// Longest extra delay of a datagram.
    pub jitter: Duration,
    config: Config,
    rng: StdRng,
    in_flight: BTreeMap<(Timestamp, u64), Datagram>,
    sequence: u64,
    by_address: BTreeMap<SocketAddr, NodeName>,
    /// When each running node is due, in order.
    due: BTreeSet<(Timestamp, NodeName)>,
    cut: BTreeSet<(NodeName, NodeName)>,
    next_port: u16,
}

pub fn locality(region: usize, zone: usize) -> Locality {
    Locality {
        region: format!("region-{region}").as_str().into(),
        zone: format!("zone-{region}-{zone}").as_str().into(),
    }
}

pub fn name(number: usize) -> NodeName {
    format!("node-{number}").as_str().into()
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        println!("seed {seed}");
        Self {
            now: Timestamp::from_millis(1_000),
            nodes: BTreeMap::new(),
            loss: 0.0,
            duplication: 0.0,
            jitter: Duration::from_micros(200),
            config: Config::default(),
            rng: StdRng::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            sequence: 0,
            by_address: BTreeMap::new(),
            due: BTreeSet::new(),
            cut: BTreeSet::new(),
            next_port: 1,
        }
    }

    /// Nodes 0 to `count - 1`, over `regions` regions with two zones each, joined and quiet.
    pub fn joined(seed: u64, count: usize, regions: usize) -> Self {
        let mut simulation = Self::new(seed);
        for number in 0..count {
            simulation.start(
                name(number),
                locality(number % regions, number / regions % 2),
            );
        }
        simulation.run_for(Duration::from_secs(20));
        simulation.assert_agreement();
        simulation
    }

    /// Starts a process. An earlier one of that name must have been killed.
    pub fn start(&mut self, node: NodeName, locality: Locality) {
        let address = SocketAddr::from(([10, 0, 0, 1], self.next_port));
        self.next_port += 1;
        let record = Record {
            node: node.clone(),
            incarnation: Incarnation::of_start(self.now.as_micros() / 1_000),
            locality: locality.clone(),
            addresses: Addresses {
                membership: address,
                peers: address,
                admin: address,
            },
            weight: NORMAL_WEIGHT,
            leaving: false,
        };
        let seed = self.rng.random();
        let created = Membership::new(self.config.clone(), record, seed, self.now);
        let mut membership = created.expect("valid settings");
        membership.set_contacts(self.contacts());
        self.by_address.insert(address, node.clone());
        let state = Node {
            membership,
            locality,
            address,
            due: None,
            process: Process::Running,
            events: Vec::new(),
            bytes_sent: 0,
            bytes_received: 0,
            longest_datagram: 0,
            buffer: Vec::new(),
        };
        self.nodes.insert(node.clone(), state);
        self.reschedule(&node);
    }

    fn contacts(&self) -> Vec<SocketAddr> {
        let of_running = |(address, node): (&SocketAddr, &NodeName)| {
            let state = self.nodes.get(node)?;
            (state.process != Process::Killed).then_some(*address)
        };
        self.by_address
            .iter()
            .filter_map(of_running)
            .take(3)
            .collect()
    }

    pub fn kill(&mut self, node: &NodeName) {
        let state = self.nodes.get_mut(node).expect("known node");
        state.process = Process::Killed;
        state.buffer.clear();
        self.by_address.retain(|_, name| name != node);
        self.reschedule(node);
    }

    pub fn freeze(&mut self, node: &NodeName) {
        let state = self.nodes.get_mut(node).expect("known node");
        if state.process == Process::Running {
            state.process = Process::Frozen;
        }
        self.reschedule(node);
    }

    /// Resumes a frozen process, which first reads the datagrams kept in its buffer.
    pub fn thaw(&mut self, node: &NodeName) {
        let state = self.nodes.get_mut(node).expect("known node");
        if state.process != Process::Frozen {
            return;
        }
        state.process = Process::Running;
        let buffer = std::mem::take(&mut state.buffer);
        self.reschedule(node);
        for (from, bytes) in buffer {
            self.deliver_to(node.clone(), from, &bytes);
        }
    }

    pub fn announce_leaving(&mut self, node: &NodeName) {
        let now = self.now;
        let outputs = self.membership(node).announce_leaving(now);
        self.perform(node.clone(), outputs);
    }

    /// Has the node announce that it has left, and ends its process.
    pub fn leave(&mut self, node: &NodeName) {
        let now = self.now;
        let outputs = self.membership(node).leave(now);
        self.perform(node.clone(), outputs);
        self.kill(node);
    }

    pub fn set_revision(&mut self, node: &NodeName, revision: u64) {
        let now = self.now;
        let outputs = self.membership(node).set_revision(now, Revision(revision));
        self.perform(node.clone(), outputs);
    }

    /// Drops all datagrams from `from` to `to`.
    pub fn cut(&mut self, from: &NodeName, to: &NodeName) {
        self.cut.insert((from.clone(), to.clone()));
    }

    /// Drops all datagrams between nodes on different sides.
    pub fn partition(&mut self, side: impl Fn(&Locality) -> bool) {
        let nodes: Vec<_> = self
            .nodes
            .iter()
            .map(|(n, s)| (n.clone(), side(&s.locality)))
            .collect();
        for (from, from_side) in &nodes {
            for (to, _) in nodes.iter().filter(|(_, to_side)| to_side != from_side) {
                self.cut(from, to);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
        self.loss = 0.0;
        self.duplication = 0.0;
    }

    /// Injects bytes as if they came from `from`.
    pub fn inject(&mut self, from: SocketAddr, to: &NodeName, bytes: &[u8]) {
        self.deliver_to(to.clone(), from, bytes);
    }

    pub fn membership(&mut self, node: &NodeName) -> &mut Membership {
        &mut self.nodes.get_mut(node).expect("known node").membership
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(next) = self.next_time().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            self.deliver_due();
            self.tick_due();
        }
        self.now = end;
    }

    fn next_time(&self) -> Option<Timestamp> {
        let arrival = self.in_flight.keys().next().map(|(at, _)| *at);
        let deadline = self.due.first().map(|(at, _)| *at);
        arrival.into_iter().chain(deadline).min()
    }

    /// Updates the time at which a node is due.
    fn reschedule(&mut self, node: &NodeName) {
        let state = self.nodes.get_mut(node).expect("known node");
        if let Some(due) = state.due.take() {
            self.due.remove(&(due, node.clone()));
        }
        if state.process == Process::Running {
            state.due = state.membership.next_deadline();
        }
        self.due.extend(state.due.map(|due| (due, node.clone())));
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let datagram = entry.remove();
            if let Some(node) = self.by_address.get(&datagram.to).cloned() {
                self.deliver_to(node, datagram.from, &datagram.bytes);
            }
        }
    }

    fn deliver_to(&mut self, node: NodeName, from: SocketAddr, bytes: &[u8]) {
        let state = self.nodes.get_mut(&node).expect("known node");
        match state.process {
            Process::Running => {
                state.bytes_received += bytes.len();
                let outputs = state.membership.handle_datagram(self.now, from, bytes);
                self.perform(node, outputs.unwrap_or_default());
            }
            Process::Frozen if state.buffer.len() < SOCKET_BUFFER => {
                state.buffer.push((from, bytes.to_vec()));
            }
            Process::Frozen | Process::Killed => {}
        }
    }

    fn tick_due(&mut self) {
        while let Some((due, node)) = self.due.first().cloned() {
            if due > self.now {
                return;
            }
            let now = self.now;
            let outputs = self.membership(&node).tick(now);
            self.perform(node, outputs);
        }
    }

    fn perform(&mut self, node: NodeName, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let bytes = encode(&message).expect("messages fit in a datagram");
                    self.send(&node, to, bytes);
                }
                Output::Event(event) => {
                    let state = self.nodes.get_mut(&node).expect("known node");
                    state.events.push((self.now, event));
                }
            }
        }
        self.reschedule(&node);
    }

    fn send(&mut self, from: &NodeName, to: SocketAddr, bytes: Vec<u8>) {
        let state = self.nodes.get_mut(from).expect("known node");
        state.bytes_sent += bytes.len();
        state.longest_datagram = state.longest_datagram.max(bytes.len());
        let source = state.address;
        let Some(target) = self.by_address.get(&to).cloned() else {
            return;
        };
        if self.cut.contains(&(from.clone(), target.clone())) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.duplication) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.latency(from, &target) + self.jitter.mul_f64(self.rng.random());
            self.sequence += 1;
            let datagram = Datagram {
                from: source,
                to,
                bytes: bytes.clone(),
            };
            self.in_flight
                .insert((self.now + delay, self.sequence), datagram);
        }
    }

    fn latency(&self, from: &NodeName, to: &NodeName) -> Duration {
        let (from, to) = (&self.nodes[from].locality, &self.nodes[to].locality);
        if from.region != to.region {
            LATENCY_BETWEEN_REGIONS
        } else if from.zone != to.zone {
            LATENCY_IN_REGION
        } else {
            LATENCY_IN_ZONE
        }
    }

    /// The state of `node` in the view of `observer`.
    pub fn state(&self, observer: &NodeName, node: &NodeName) -> Option<MemberState> {
        let member = self.nodes[observer].membership.member(node)?;
        Some(member.state)
    }

    pub fn running(&self) -> Vec<NodeName> {
        let running = self
            .nodes
            .iter()
            .filter(|(_, node)| node.process == Process::Running);
        running.map(|(name, _)| name.clone()).collect()
    }

    /// Counts an event over all nodes since `since`.
    pub fn count(&self, since: Timestamp, wanted: impl Fn(&Event) -> bool) -> usize {
        let events = self.nodes.values().flat_map(|node| &node.events);
        events
            .filter(|(at, event)| *at >= since && wanted(event))
            .count()
    }

    /// Asserts what must hold once all faults are healed and the network is quiet: running nodes regard exactly the
    /// running nodes as live, except that nodes of a region without any running node may be merely unreachable.
    pub fn assert_agreement(&self) {
        let running = self.running();
        let region_runs = |locality: &Locality| {
            running
                .iter()
                .any(|node| self.nodes[node].locality.region == locality.region)
        };
        for observer in &running {
            let membership = &self.nodes[observer].membership;
            for node in &running {
                let state = self.state(observer, node);
                let live = matches!(state, Some(MemberState::Alive | MemberState::Leaving));
                assert!(
                    live,
                    "{observer} regards the running {node} as {state:?} at {:?}",
                    self.now
                );
            }
            for member in membership.members() {
                let is_running = running.contains(&member.node);
                let excused =
                    member.state == MemberState::Unreachable && !region_runs(&member.locality);
                assert!(
                    is_running
                        || !member.state.is_live()
                            && (member.state != MemberState::Unreachable || excused),
                    "{observer} regards {}, which isn't running, as {:?} at {:?}",
                    member.node,
                    member.state,
                    self.now
                );
            }
            let first = &self.nodes[&running[0]].membership;
            assert_eq!(
                membership.digest(),
                first.digest(),
                "the digests of {observer} and {} differ",
                running[0]
            );
        }
    }
}
