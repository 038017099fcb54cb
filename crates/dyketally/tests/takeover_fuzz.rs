//! Stateful fuzzing of takeovers in groups whose commits wait for replicas, over drawn orders of commits, crashes,
//! returns, lives without a log, databases that receive nothing or are lost for good, and changes of the coordinator.
//! The oracle knows which commits were acknowledged: a promoted log must hold them all, and a group is led again once
//! its last primary has returned. With a mechanism switched off, the fuzz must find a violation.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dyketally::directory::{Announcement, Directory, Incarnation};
use dyketally::failover::{Candidate, Succession, choose_successor, is_received};
use dyketally::group::{LogPosition, Role, Term};
use dyketally::identifiers::GroupName;
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEEDS: u64 = 4_000;
const STEPS: usize = 120;
const COORDINATORS: usize = 2;

/// The mechanism that a run switches off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// A takeover counts the replicas that are left.
    CountsTheRest,
    /// A database that has started again counts as the one that it was.
    LivesAreOne,
    /// A database that has ended is retired without asking whether the others have received its commits.
    RetiresUnasked,
    /// No database is ever retired.
    NeverRetires,
}

#[derive(Clone, Debug)]
struct Database {
    running: bool,
    leads: bool,
    deaf: bool,
    /// True once it never runs again.
    lost: bool,
    born: u64,
    term: u64,
    log: Vec<(u64, u64)>,
}

impl Database {
    fn end(&self) -> LogPosition {
        LogPosition {
            term: Term(self.log.last().map_or(0, |(term, _)| *term)),
            offset: self.log.len() as u64,
        }
    }
}

struct World {
    fault: Fault,
    random: StdRng,
    now: Timestamp,
    sync: usize,
    databases: BTreeMap<String, Database>,
    acknowledged: BTreeSet<(u64, u64)>,
    commits: u64,
    births: u64,
    /// What each node that may coordinate knows of the group.
    nodes: Vec<Directory>,
    /// The node that coordinates.
    coordinator: usize,
    promotions: usize,
}

fn group() -> GroupName {
    GroupName::from("orders")
}

impl World {
    fn new(seed: u64, fault: Fault) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let sync = random.random_range(0..=2);
        let size = random.random_range(2..=5);
        let mut world = Self {
            fault,
            random,
            now: Timestamp::from_millis(0),
            sync,
            databases: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            commits: 0,
            births: 0,
            nodes: vec![Directory::default(); COORDINATORS],
            coordinator: 0,
            promotions: 0,
        };
        for _ in 0..size {
            world.join();
        }
        let first = world.databases.values_mut().next().expect("a database");
        first.leads = true;
        world
    }

    /// Adds a database under a new name, without a log.
    fn join(&mut self) {
        self.births += 1;
        let name = format!("d{}", self.births);
        let database = Database {
            running: true,
            leads: false,
            deaf: false,
            lost: false,
            born: self.births,
            term: 1,
            log: Vec::new(),
        };
        self.databases.insert(name.clone(), database);
        self.announce(&name);
    }

    fn announce(&mut self, name: &str) {
        let database = &self.databases[name];
        let incarnation = match self.fault {
            Fault::LivesAreOne => None,
            _ => Some(Incarnation(database.born)),
        };
        let announcement = Announcement {
            database: name.into(),
            group: group(),
            address: "127.0.0.1:5432".parse().expect("an address"),
            zone: "east".into(),
            slots: 3,
            ready: true,
            role: match database.leads {
                true => Role::Primary,
                false => Role::Replica,
            },
            cold_for: Duration::ZERO,
            incarnation,
        };
        for node in &mut self.nodes {
            node.announced(self.now, announcement.clone());
        }
    }

    fn step(&mut self) -> Option<String> {
        self.now = self.now + Duration::from_millis(self.random.random_range(1..4_000));
        let name = self.databases.keys().choose(&mut self.random);
        let name = name.expect("a database").clone();
        match self.random.random_range(0..14) {
            0..=3 => self.commit(),
            4 => self.crash(&name),
            5 => self.restart(&name),
            6 => self.restart_empty(&name),
            7 => self.databases.get_mut(&name).expect("a database").deaf ^= true,
            8 if self.databases.len() < 7 => self.join(),
            9 => self.lapse(),
            10 => self.coordinator = self.random.random_range(0..COORDINATORS),
            11 => self.lose(&name),
            12 => self.retire(),
            _ => return self.take_over(),
        }
        None
    }

    fn leader(&self) -> Option<String> {
        let leading = self
            .databases
            .iter()
            .filter(|(_, it)| it.leads && it.running);
        leading.map(|(name, _)| name.clone()).next()
    }

    /// Appends a commit at the primary, which some replicas receive; it is acknowledged if these are enough.
    fn commit(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        self.commits += 1;
        let primary = self.databases.get_mut(&leader).expect("a primary");
        let commit = (primary.term, self.commits);
        primary.log.push(commit);
        let (term, log) = (primary.term, primary.log.clone());
        for (name, database) in &mut self.databases {
            let receives = *name != leader && database.running && !database.deaf;
            if receives && self.random.random_bool(0.6) {
                database.term = term;
                database.log.clone_from(&log);
            }
        }
        // An earlier commit waits until a later one has been received, too.
        let replicas = self.databases.iter().filter(|(name, _)| **name != leader);
        let logs: Vec<_> = replicas.map(|(_, it)| &it.log).collect();
        let is_held = |commit: &&(u64, u64)| {
            logs.iter().filter(|log| log.contains(commit)).count() >= self.sync
        };
        self.acknowledged.extend(log.iter().filter(is_held));
    }

    fn crash(&mut self, name: &str) {
        self.databases.get_mut(name).expect("a database").running = false;
    }

    fn lose(&mut self, name: &str) {
        // The fuzz is about the databases that are left.
        if self.databases.values().filter(|it| !it.lost).count() > 2 && !self.databases[name].leads
        {
            self.crash(name);
            self.databases.get_mut(name).expect("a database").lost = true;
        }
    }

    /// Starts a crashed database with its log. One that led returns as a replica if another was promoted.
    fn restart(&mut self, name: &str) {
        let database = self.databases.get_mut(name).expect("a database");
        if !database.lost && !database.running {
            database.running = true;
            self.announce(name);
        }
    }

    /// Starts a crashed replica under its name without its log.
    fn restart_empty(&mut self, name: &str) {
        let database = self.databases.get_mut(name).expect("a database");
        if database.lost || database.running || database.leads {
            return;
        }
        self.births += 1;
        database.running = true;
        database.born = self.births;
        database.term = 0;
        database.log.clear();
        self.announce(name);
    }

    /// Has the announcements of crashed databases lapse, and long gone ones be forgotten.
    fn lapse(&mut self) {
        for (name, database) in &self.databases {
            if !database.running {
                for node in &mut self.nodes {
                    node.vanished(self.now, &name.as_str().into());
                }
            }
        }
        for node in &mut self.nodes {
            node.settle_unlisted(self.now - Duration::from_secs(2));
            node.forget_gone_before(self.now - Duration::from_secs(30));
        }
    }

    /// Retires databases that have ended, at the coordinator, while a primary leads.
    fn retire(&mut self) {
        let Some(leader) = self.leader().filter(|_| self.fault != Fault::NeverRetires) else {
            return;
        };
        let node = &mut self.nodes[self.coordinator];
        let mut ended = node.departed_holders(&group());
        ended.retain(|life| {
            let database = &self.databases[life.database.as_str()];
            !database.running || Some(Incarnation(database.born)) != life.incarnation
        });
        let end = self.databases[&leader].end();
        let replicas = self.databases.iter();
        let replicas = replicas.filter(|(name, database)| **name != leader && database.running);
        let received = replicas.map(|(_, database)| Some(database.end()));
        if self.fault == Fault::RetiresUnasked || is_received(received, end, self.sync) {
            node.retire_holders(&group(), &ended);
        }
    }

    /// Promotes a database if the last primary is lost and enough logs are known.
    fn take_over(&mut self) -> Option<String> {
        if self.leader().is_some() {
            return None;
        }
        let node = &self.nodes[self.coordinator];
        let running = self.databases.iter().filter(|(_, it)| it.running);
        let candidates: Vec<Candidate> = running
            .map(|(name, database)| Candidate {
                name: name.as_str().into(),
                received: Some(database.end()),
                ready: true,
                cold: false,
                preference: 0,
            })
            .collect();
        let replicas = match self.fault {
            Fault::CountsTheRest => candidates.len(),
            _ => node.log_holders(&group()) - 1,
        };
        match choose_successor(&candidates, replicas, self.sync) {
            Succession::Promote(name) => self.promote(name.as_str()),
            Succession::TooFewLogs { .. } | Succession::NoCandidate => None,
        }
    }

    fn promote(&mut self, name: &str) -> Option<String> {
        self.promotions += 1;
        let term = self
            .databases
            .values()
            .map(|it| it.term)
            .max()
            .expect("databases")
            + 1;
        for (other, database) in &mut self.databases {
            database.leads = other == name;
        }
        let promoted = self.databases.get_mut(name).expect("a database");
        promoted.term = term;
        let log: BTreeSet<_> = promoted.log.iter().copied().collect();
        let missing = self.acknowledged.difference(&log).count();
        self.acknowledged.retain(|commit| log.contains(commit));
        self.announce(name);
        // Where the primary acknowledges alone, its last commits may be lost.
        (missing > 0 && self.sync > 0)
            .then(|| format!("{name} lacks {missing} acknowledged commits"))
    }

    /// A group whose databases run again, but for those that are lost for good, is led.
    fn settles(&mut self) -> Option<String> {
        let names: Vec<String> = self.databases.keys().cloned().collect();
        for name in &names {
            self.restart(name);
        }
        let violation = self.take_over();
        let led = self.leader().is_some();
        violation.or_else(|| (!led).then(|| "no database leads".to_owned()))
    }
}

/// The first violation, and how many databases were promoted until then.
fn play(fault: Fault) -> (Option<String>, usize) {
    let mut promotions = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, fault);
        let violation = (0..STEPS).find_map(|_| world.step());
        let violation = violation.or_else(|| world.settles());
        promotions += world.promotions;
        if let Some(violation) = violation {
            let sync = world.sync;
            return (
                Some(format!("seed {seed}, {sync} acknowledging: {violation}")),
                promotions,
            );
        }
    }
    (None, promotions)
}

/// Guards against the loss of acknowledged commits by a takeover, and against takeovers that never happen.
#[test]
fn a_promoted_log_holds_every_acknowledged_commit() {
    let (violation, promotions) = play(Fault::Nothing);
    assert_eq!(violation, None);
    let (_, unretired) = play(Fault::NeverRetires);
    assert!(
        promotions > unretired,
        "{promotions} promotions, {unretired} without retirement"
    );
}

#[rstest]
#[case(Fault::CountsTheRest)]
#[case(Fault::LivesAreOne)]
#[case(Fault::RetiresUnasked)]
fn a_mechanism_that_is_switched_off_is_noticed(#[case] fault: Fault) {
    assert!(play(fault).0.is_some(), "{fault:?} went unnoticed");
}
