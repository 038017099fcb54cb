//! Sessions against homes under random faults: what they are told must hold in the end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use dyketally::group::LogPosition;
use dyketally::policy::Repeat;
use dyketally_protocol::{Completion, ExecuteRequest, Freshness};
use dyketally_proxy::home::{AddressRoutes, Home, HomeOptions};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

use crate::relay::{Mode, Relay};
use crate::support::{Answer, Fixture, eventually, insert, select};

const SESSIONS: usize = 8;
const STEPS: usize = 60;
const LONGEST_THINKING_MS: u64 = 60;
const HOPS: usize = 4;

/// What became of a key that a session tried to insert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Done,
    NotRun,
    Unknown,
}

#[derive(Debug)]
struct Attempted {
    keys: Vec<String>,
    told: Told,
}

struct System {
    fixture: Fixture,
    relays: Vec<Relay>,
}

impl System {
    /// Homes that reach every database through a relay.
    async fn start() -> Self {
        let mut fixture = Fixture::start().await;
        let mut relays = Vec::new();
        for database in &fixture.databases {
            relays.push(Relay::start(database.address(), Mode::Pass).await);
        }
        let addresses = fixture.databases.iter().map(|database| database.address());
        let routes = addresses.zip(relays.iter().map(|relay| relay.address));
        let routes = AddressRoutes::from_iter(routes);
        for member in 0..fixture.homes.len() {
            fixture.homes[member] = Home::start(
                fixture.name(member),
                fixture.policies.subscribe(),
                routes.clone(),
                HomeOptions::default(),
            );
        }
        Self { fixture, relays }
    }

    /// Runs a request, and sends it on where a home says so.
    async fn run(&self, execute: ExecuteRequest, at: &mut usize) -> Answer {
        let mut answer = self.fixture.submit_to(*at, execute.clone()).answer().await;
        for _ in 0..HOPS {
            let Completion::Redirect {
                primary: Some(primary),
                ..
            } = &answer.completion
            else {
                break;
            };
            let next = (0..3).find(|member| &self.fixture.name(*member) == primary);
            *at = next.expect("a member");
            answer = self.fixture.submit_to(*at, execute.clone()).answer().await;
        }
        answer
    }

    async fn fault(&self, random: &mut StdRng) {
        let member = random.random_range(0..3);
        let control = self.fixture.databases[member].control();
        let pause = Duration::from_millis(random.random_range(50..700));
        match random.random_range(0..5) {
            0 => {
                let others = (0..3).filter(|other| *other != member);
                let others = others.map(|other| self.fixture.name(other)).collect();
                control.set_stay_leading(true).await.unwrap();
                control.cut(others).await.unwrap();
                tokio::time::sleep(pause).await;
                control.set_stay_leading(false).await.unwrap();
                control.heal().await.unwrap();
            }
            1 => {
                let lag = random.random_range(0..200);
                control.set_replication_lag(lag).await.unwrap();
                tokio::time::sleep(pause).await;
                control.set_replication_lag(0).await.unwrap();
            }
            2 => {
                self.relays[member].set(Mode::Stall);
                tokio::time::sleep(pause).await;
                self.relays[member].set(Mode::Pass);
            }
            3 => self.relays[member].set(Mode::LoseCommit),
            _ => control.step_down().await.unwrap(),
        }
        tokio::time::sleep(pause / 4).await;
    }
}

fn told(answer: &Answer) -> Told {
    match answer.completion {
        Completion::Done { .. } if answer.sqlstate().is_none() => Told::Done,
        Completion::Unknown { .. } => Told::Unknown,
        _ => Told::NotRun,
    }
}

struct Session<'a> {
    system: &'a System,
    random: StdRng,
    number: usize,
    at: usize,
    attempted: Vec<Attempted>,
    seen: LogPosition,
    last_done: Option<String>,
}

impl Session<'_> {
    async fn run(mut self) -> Vec<Attempted> {
        for step in 0..STEPS {
            let key = format!("{}-{step}", self.number);
            let thinking = self.random.random_range(0..LONGEST_THINKING_MS);
            tokio::time::sleep(Duration::from_millis(thinking)).await;
            match self.random.random_range(0..5) {
                0 | 1 => self.write(key).await,
                2 => self.transaction(key).await,
                3 => self.read_own_writes().await,
                _ => self.read_current().await,
            }
        }
        self.attempted
    }

    fn time_left(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(20..1500))
    }

    async fn write(&mut self, key: String) {
        let recorded = self.random.random_bool(0.5);
        let request = ExecuteRequest {
            time_left: self.time_left(),
            repeat: if recorded {
                Repeat::Recorded
            } else {
                Repeat::Never
            },
            ..self.system.fixture.write(self.at, &insert(&key))
        };
        let answer = self.system.run(request, &mut self.at).await;
        self.note(&answer, vec![key]);
    }

    async fn transaction(&mut self, key: String) {
        let begin = ExecuteRequest {
            time_left: self.time_left(),
            ..self.system.fixture.write(self.at, "BEGIN")
        };
        if told(&self.system.run(begin.clone(), &mut self.at).await) != Told::Done {
            return;
        }
        let keys = vec![format!("{key}-x"), format!("{key}-y")];
        let mut texts: Vec<_> = keys.iter().map(|key| insert(key)).collect();
        texts.push("COMMIT".to_owned());
        let home = &self.system.fixture.homes[self.at];
        for text in texts {
            let mut next = begin.clone();
            next.transaction = Some(0);
            next.batch.steps = vec![dyketally_protocol::Step::Query(text.clone())];
            let answer = Fixture::submit_at(home, next).answer().await;
            let ended = text == "COMMIT" || told(&answer) != Told::Done;
            if !ended {
                continue;
            }
            // Without a commit nothing stays; a commit of a failed transaction rolls back.
            let answer_told = match told(&answer) {
                Told::Unknown if text != "COMMIT" => Told::NotRun,
                other => other,
            };
            home.end_session(&begin.session);
            self.attempted.push(Attempted {
                keys,
                told: answer_told,
            });
            return;
        }
    }

    async fn read_own_writes(&mut self) {
        let Some(key) = self.last_done.clone() else {
            return;
        };
        let mut member = self.random.random_range(0..3);
        let read = ExecuteRequest {
            time_left: self.time_left(),
            ..self
                .system
                .fixture
                .read(member, Freshness::AtLeast(self.seen), &select(&key))
        };
        let answer = self.system.run(read, &mut member).await;
        if told(&answer) == Told::Done {
            assert_eq!(answer.values(), ["1"], "{key} at {member}: {answer:?}");
        }
    }

    async fn read_current(&mut self) {
        let Some(key) = self.last_done.clone() else {
            return;
        };
        let read = ExecuteRequest {
            time_left: self.time_left(),
            ..self
                .system
                .fixture
                .read(self.at, Freshness::Current, &select(&key))
        };
        let answer = self.system.run(read, &mut self.at).await;
        if told(&answer) == Told::Done {
            assert_eq!(answer.values(), ["1"], "{key}: {answer:?}");
        }
    }

    fn note(&mut self, answer: &Answer, keys: Vec<String>) {
        let told = told(answer);
        if told == Told::Done {
            self.seen = self.seen.max(answer.seen());
            self.last_done = keys.first().cloned();
        }
        self.attempted.push(Attempted { keys, told });
    }
}

/// Keys that the group has in the end, once all members agree.
async fn final_keys(fixture: &Fixture) -> Vec<String> {
    eventually("members that agree", || async {
        let mut tables = Vec::new();
        for database in &fixture.databases {
            let state = database.control().state().await.ok()?;
            let rows = database.control().table("orders").await.ok()?;
            tables.push((state.term, state.log_term, state.log_offset, rows));
        }
        let agree = tables.windows(2).all(|pair| pair[0] == pair[1]);
        let settled = agree && tables[0].0 == tables[0].1;
        let (.., rows) = tables.swap_remove(0);
        settled.then(|| rows.into_iter().map(|row| row.key).collect())
    })
    .await
}

#[rstest]
#[case(6)]
#[case(9)]
#[case(13)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_callers_are_told_holds(#[case] seed: u64) {
    println!("seed {seed}");
    let system = Arc::new(System::start().await);
    let over = Arc::new(AtomicBool::new(false));
    let faults = tokio::spawn({
        let (system, over) = (Arc::clone(&system), Arc::clone(&over));
        async move {
            let mut random = StdRng::seed_from_u64(seed);
            while !over.load(Ordering::Relaxed) {
                system.fault(&mut random).await;
            }
        }
    });
    let sessions = (0..SESSIONS).map(|number| {
        let system = Arc::clone(&system);
        tokio::spawn(async move {
            let session = Session {
                system: &system,
                random: StdRng::seed_from_u64(seed * 1000 + number as u64),
                number,
                at: system.fixture.primary,
                attempted: Vec::new(),
                seen: LogPosition::default(),
                last_done: None,
            };
            session.run().await
        })
    });
    let sessions: Vec<_> = sessions.collect();
    let mut attempted = Vec::new();
    for session in sessions {
        attempted.extend(session.await.expect("a session's checks hold"));
    }
    over.store(true, Ordering::Relaxed);
    faults.await.unwrap();
    for relay in &system.relays {
        relay.set(Mode::Pass);
    }
    let keys = final_keys(&system.fixture).await;
    let count = |told| attempted.iter().filter(|one| one.told == told).count();
    println!(
        "done {}, not run {}, unknown {}",
        count(Told::Done),
        count(Told::NotRun),
        count(Told::Unknown)
    );
    for one in &attempted {
        let held = one.keys.iter().filter(|key| keys.contains(key)).count();
        let whole = held == 0 || held == one.keys.len();
        assert!(whole, "half of a transaction: {one:?}");
        match one.told {
            Told::Done => assert!(held > 0, "acknowledged and lost: {one:?}"),
            Told::NotRun => assert_eq!(held, 0, "told not run: {one:?}"),
            Told::Unknown => {}
        }
    }
}
