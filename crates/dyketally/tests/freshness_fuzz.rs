//! Stateful fuzzing of replica reads: sessions that roam between two nodes, replicas that lag,
//! primaries that are deposed and go on answering, replies that overtake each other. A simple oracle
//! knows every commit. With a mechanism switched off, it must find a stale read.

use std::time::Duration;

use dyketally::freshness::{Observation, Observations, ReadConsistency};
use dyketally::group::{LogPosition, Term};
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEEDS: u64 = 3_000;
const STEPS: usize = 250;
const DATABASES: usize = 3;
const NODES: usize = 2;
const SESSIONS: usize = 3;
const BOUND_MS: u64 = 800;

/// The mechanism that a run_request switches off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// Sessions forget their own commits.
    OwnCommitForgotten,
    /// A session that moved to another node is treated as if it had always been connected there.
    RoamingForgotten,
    /// An observation is dated by its answer and not by its request.
    CountedFromAnswer,
    /// Positions of databases that lost the lead are recorded as the primary's.
    DeposedBelieved,
    /// Observed positions satisfy the staleness bound whatever their age.
    BoundIgnored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    term: u64,
    commit: usize,
}

struct Commit {
    session: usize,
    /// When the session got the acknowledgement, in milliseconds.
    acknowledged: Option<u64>,
    rolled_back: bool,
}

struct Database {
    log: Vec<Entry>,
    follows: bool,
}

#[derive(Clone, Copy)]
struct Session {
    node: usize,
    /// When the session connected, as its node believes, in milliseconds.
    connected: u64,
    /// When the session connected, in milliseconds.
    since: u64,
    own_commit: Option<LogPosition>,
}

/// A request of a node to a database that it treats as the primary, with its reply.
struct Exchange {
    node: usize,
    session: Option<usize>,
    database: usize,
    sent: u64,
    /// The reply, once the request has run_request: the database's position, whether it led, and the commit that was
    /// made.
    done: Option<(LogPosition, bool, Option<usize>)>,
}

struct World {
    fault: Fault,
    random: StdRng,
    now: u64,
    term: u64,
    primary: usize,
    databases: Vec<Database>,
    commits: Vec<Commit>,
    sessions: Vec<Session>,
    observations: Vec<Observations>,
    exchanges: Vec<Exchange>,
    reads: usize,
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        let keep = Duration::from_millis(match fault {
            Fault::BoundIgnored => 1_000_000,
            _ => BOUND_MS,
        });
        let database = || Database {
            log: Vec::new(),
            follows: true,
        };
        let session = |node| Session {
            node,
            connected: 0,
            since: 0,
            own_commit: None,
        };
        Self {
            fault,
            random: StdRng::seed_from_u64(seed),
            now: 10_000,
            term: 1,
            primary: 0,
            databases: (0..DATABASES).map(|_| database()).collect(),
            commits: Vec::new(),
            sessions: (0..SESSIONS)
                .map(|number| session(number % NODES))
                .collect(),
            observations: (0..NODES).map(|_| Observations::new(keep)).collect(),
            exchanges: Vec::new(),
            reads: 0,
        }
    }

    fn random_below(&mut self, below: usize) -> usize {
        self.random.random_range(0..below)
    }

    /// Takes one random step and returns the description of a stale read, if there was one.
    fn step(&mut self) -> Option<String> {
        self.now += self.random.random_range(1..60);
        match self.random_below(100) {
            0..=17 => self.send_request(),
            18..=42 => self.run_request(),
            43..=67 => self.deliver_reply(),
            68..=77 => self.replicate(),
            78..=79 => self.promote(),
            80..=81 => self.rejoin(),
            82..=85 => self.roam(),
            _ => return self.read(),
        }
        None
    }

    fn send_request(&mut self) {
        let session = self.random_below(SESSIONS);
        let writes = self.random_below(2) == 0;
        let database = match self.random_below(3) {
            0 => self.random_below(DATABASES),
            _ => self.primary,
        };
        self.exchanges.push(Exchange {
            node: self.sessions[session].node,
            session: writes.then_some(session),
            database,
            sent: self.now,
            done: None,
        });
    }

    fn run_request(&mut self) {
        let waiting = self
            .exchanges
            .iter()
            .position(|exchange| exchange.done.is_none());
        let Some(index) = waiting else {
            return;
        };
        let database = self.exchanges[index].database;
        let leads = database == self.primary;
        let mut commit = None;
        if let (true, Some(session)) = (leads, self.exchanges[index].session) {
            let number = self.commits.len();
            self.commits.push(Commit {
                session,
                acknowledged: None,
                rolled_back: false,
            });
            let entry = Entry {
                term: self.term,
                commit: number,
            };
            self.databases[database].log.push(entry);
            commit = Some(number);
        }
        let position = self.position(database);
        self.exchanges[index].done = Some((position, leads, commit));
    }

    fn position(&self, database: usize) -> LogPosition {
        let log = &self.databases[database].log;
        LogPosition {
            term: Term(log.last().map_or(0, |entry| entry.term)),
            offset: log.len() as u64,
        }
    }

    fn deliver_reply(&mut self) {
        let done = self
            .exchanges
            .iter()
            .enumerate()
            .filter(|(_, exchange)| exchange.done.is_some());
        let done: Vec<usize> = done.map(|(index, _)| index).collect();
        if done.is_empty() {
            return;
        }
        let chosen = done[self.random_below(done.len())];
        let exchange = self.exchanges.swap_remove(chosen);
        let Some((position, led, commit)) = exchange.done else {
            return;
        };
        if let Some(commit) = commit {
            let session = self.commits[commit].session;
            let session = &mut self.sessions[session];
            // A caller that closed its connection before the reply came got no acknowledgement.
            if session.node == exchange.node && session.since <= exchange.sent {
                session.own_commit = session.own_commit.max(Some(position));
                self.commits[commit].acknowledged = Some(self.now);
            }
        }
        let sent = match self.fault {
            Fault::CountedFromAnswer => self.now,
            _ => exchange.sent,
        };
        if led || self.fault == Fault::DeposedBelieved {
            let observation = Observation {
                position,
                sent: Timestamp::from_millis(sent),
            };
            let now = Timestamp::from_millis(self.now);
            self.observations[exchange.node].record(now, observation);
        }
    }

    fn replicate(&mut self) {
        let source = self.databases[self.primary].log.clone();
        let replica = self.random_below(DATABASES);
        let database = &mut self.databases[replica];
        if replica != self.primary && database.follows && database.log.len() < source.len() {
            let upto = self.random.random_range(database.log.len()..=source.len());
            self.databases[replica].log = source[..upto].to_vec();
        }
    }

    fn promote(&mut self) {
        let successor = self.random_below(DATABASES);
        if successor == self.primary || !self.databases[successor].follows {
            return;
        }
        self.databases[self.primary].follows = false;
        self.primary = successor;
        self.term += 1;
        let log = self.databases[successor].log.clone();
        for (number, commit) in self.commits.iter_mut().enumerate() {
            commit.rolled_back |= !log.iter().any(|entry| entry.commit == number);
        }
        for database in &mut self.databases {
            if database.follows {
                database.log.truncate(log.len());
            }
        }
    }

    fn rejoin(&mut self) {
        let log = self.databases[self.primary].log.clone();
        for database in &mut self.databases {
            if !database.follows {
                database.log.clone_from(&log);
                database.follows = true;
            }
        }
    }

    fn roam(&mut self) {
        let session = self.random_below(SESSIONS);
        let connected = match self.fault {
            Fault::RoamingForgotten => 0,
            _ => self.now,
        };
        self.sessions[session] = Session {
            node: self.random_below(NODES),
            connected,
            since: self.now,
            own_commit: None,
        };
    }

    fn read(&mut self) -> Option<String> {
        let number = self.random_below(SESSIONS);
        let session = self.sessions[number];
        let own = self.random_below(2) == 0;
        let bound = Duration::from_millis(match self.fault {
            Fault::BoundIgnored => 900_000,
            _ => BOUND_MS,
        });
        let consistency = match own {
            true => ReadConsistency::ReadOwnWrites { bound },
            false => ReadConsistency::BoundedStaleness { bound },
        };
        let own_commit = match self.fault {
            Fault::OwnCommitForgotten => None,
            _ => session.own_commit,
        };
        let arrived = Timestamp::from_millis(self.now);
        let connected = Timestamp::from_millis(session.connected);
        let need = consistency.need(arrived, connected, own_commit)?;
        let needed = need.position(&self.observations[session.node])?;
        let database = self.random_below(DATABASES);
        let log = &self.databases[database].log;
        if !holds(log, needed) {
            return None;
        }
        self.reads += 1;
        for (index, commit) in self.commits.iter().enumerate() {
            let Some(acknowledged) = commit.acknowledged.filter(|_| !commit.rolled_back) else {
                continue;
            };
            let older = acknowledged + BOUND_MS < self.now;
            let own_one = own && commit.session == number && acknowledged < self.now;
            let seen = log.iter().any(|entry| entry.commit == index);
            if (older || own_one) && !seen {
                let text = format!(
                    "commit {index}, acknowledged at {acknowledged} ms, is missing in a read at {} ms",
                    self.now
                );
                return Some(text);
            }
        }
        None
    }
}

/// True when a log has an entry at `position`, as databases check it.
fn holds(log: &[Entry], position: LogPosition) -> bool {
    let Some(index) = (position.offset as usize).checked_sub(1) else {
        return true;
    };
    log.get(index)
        .is_some_and(|entry| entry.term == position.term.0)
}

fn first_stale_read(fault: Fault) -> (Option<String>, usize) {
    let mut reads = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, fault);
        for _ in 0..STEPS {
            if let Some(stale) = world.step() {
                return (Some(format!("seed {seed}: {stale}")), reads);
            }
        }
        reads += world.reads;
    }
    (None, reads)
}

#[test]
fn no_read_is_stale() {
    let (stale, reads) = first_stale_read(Fault::Nothing);
    assert_eq!(stale, None);
    assert!(reads > 1_000, "only {reads} reads were checked");
}

#[rstest]
#[case(Fault::OwnCommitForgotten)]
#[case(Fault::RoamingForgotten)]
#[case(Fault::CountedFromAnswer)]
#[case(Fault::DeposedBelieved)]
#[case(Fault::BoundIgnored)]
fn a_mechanism_that_is_switched_off_is_noticed(#[case] fault: Fault) {
    let (stale, _) = first_stale_read(fault);
    assert!(stale.is_some(), "{fault:?} went unnoticed");
}
