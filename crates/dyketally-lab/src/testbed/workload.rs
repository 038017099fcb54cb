//! The users' workloads: orders and stock lookups, seat claims and result posts.
//!
//! Every write has a key of its own, so that the history tells whether it was applied and how
//! often. Result posts add to a counter that starts at zero, so a doubled post shows as 2.

use std::sync::Arc;
use std::time::Duration;

use dyketally::history::{Entry, Key, LookupAnswer};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::caller::{Caller, CallerSettings};
use super::recorder::Recorder;
use super::reply::Reply;

/// Which of the users' workloads a caller runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Orders with their payments in one transaction, single orders, stock lookups.
    Orders,
    /// Seat claims, result posts, ladder lookups.
    Seats,
}

/// Shares of the kinds of requests of one caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mix {
    /// Share of requests that write.
    pub writes: f64,
    /// Share of lookups that look up the caller's own latest write.
    pub own_lookups: f64,
    /// Chance that the caller roams to another proxy before a request.
    pub roams: f64,
    /// Pause between two requests.
    pub pause: Duration,
}

/// Number of rows that are there from the start, for lookups.
pub const STOCK_ROWS: u32 = 50;

/// The value of each row that is there from the start.
pub const STOCK_VALUE: &str = "100";

/// The value of an entry that was applied once.
const ONCE: &str = "1";

/// Rows that are there before the workload starts: lookups and counters.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct InitialRows {
    /// Keys of the stock table, each with [`STOCK_VALUE`].
    pub stock: Vec<String>,
    /// Keys of the results table, each with `0`.
    pub results: Vec<String>,
}

impl InitialRows {
    /// The rows that `callers` callers with up to `posts` result posts each need.
    pub fn new(callers: usize, posts: usize) -> Self {
        let stock = (0..STOCK_ROWS).map(stock_key).collect();
        let keys = |caller| (0..posts).map(move |post| result_key(caller, post));
        let results = (0..callers).flat_map(keys).collect();
        Self { stock, results }
    }
}

/// The name under which a row stands in the history.
pub fn history_key(table: &str, key: &str) -> Key {
    Key(format!("{table}/{key}"))
}

fn stock_key(row: u32) -> String {
    format!("part-{row}")
}

fn result_key(caller: usize, post: usize) -> String {
    format!("driver-{caller}-race-{post}")
}

/// One caller of a workload.
#[derive(Debug)]
pub struct WorkloadCaller {
    name: String,
    number: usize,
    workload: Workload,
    mix: Mix,
    caller: Caller,
    proxies: usize,
    random: StdRng,
    recorder: Arc<Recorder>,
    writes: usize,
    posts: usize,
    posts_allowed: usize,
    own: Option<OwnWrite>,
}

#[derive(Clone, Debug)]
struct OwnWrite {
    table: &'static str,
    key: String,
}

impl WorkloadCaller {
    /// The caller with this number; its choices follow from the seed and the number.
    pub fn new(
        number: usize,
        workload: Workload,
        mix: Mix,
        settings: CallerSettings,
        recorder: Arc<Recorder>,
        seed: u64,
    ) -> Self {
        let proxies = settings.proxies.len();
        Self {
            name: format!("caller-{number}"),
            number,
            workload,
            mix,
            caller: Caller::new(settings, number),
            proxies,
            random: StdRng::seed_from_u64(seed.wrapping_mul(SEED_STRIDE) + number as u64),
            recorder,
            writes: 0,
            posts: 0,
            posts_allowed: usize::MAX,
            own: None,
        }
    }

    /// Sets how many result posts have counters that are there from the start.
    #[must_use]
    pub fn with_posts(mut self, posts: usize) -> Self {
        self.posts_allowed = posts;
        self
    }

    /// Sends requests until it is stopped; a request in flight is awaited.
    pub async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            self.step().await;
            sleep(self.mix.pause).await;
        }
    }

    /// Sends one request.
    pub async fn step(&mut self) {
        if self.random.random_bool(self.mix.roams) {
            let proxy = self.random.random_range(0..self.proxies);
            self.caller.roam(proxy);
        }
        if self.random.random_bool(self.mix.writes) {
            self.write().await;
            return;
        }
        match self.own.clone() {
            Some(own) if self.random.random_bool(self.mix.own_lookups) => {
                self.lookup(own.table, &own.key).await;
            }
            _ => {
                let row = self.random.random_range(0..STOCK_ROWS);
                self.lookup("stock", &stock_key(row)).await;
            }
        }
    }

    async fn write(&mut self) {
        self.writes += 1;
        let is_first_kind = self.random.random_bool(0.5);
        match (self.workload, is_first_kind) {
            (Workload::Orders, true) => self.order_with_payment().await,
            (Workload::Orders, false) => self.insert("orders").await,
            (Workload::Seats, false) if self.posts < self.posts_allowed => self.post().await,
            (Workload::Seats, _) => self.insert("seats").await,
        }
    }

    async fn insert(&mut self, table: &'static str) {
        let key = self.next_key();
        let open = self
            .recorder
            .write_begins(&self.name, vec![entry(table, &key)]);
        let statement = format!("INSERT INTO {table} (key, value) VALUES ($1, $2)");
        let reply = self.caller.execute(&statement, &[&key, &ONCE]).await;
        self.recorder.write_ends(open, &reply);
        self.remember(table, key, &reply);
    }

    async fn post(&mut self) {
        let key = result_key(self.number, self.posts);
        self.posts += 1;
        let entries = vec![entry("results", &key)];
        let open = self.recorder.write_begins(&self.name, entries);
        let statement = "UPDATE results SET value = value + $2 WHERE key = $1";
        let reply = self.caller.execute(statement, &[&key, &ONCE]).await;
        self.recorder.write_ends(open, &reply);
        self.remember("results", key, &reply);
    }

    async fn order_with_payment(&mut self) {
        let key = self.next_key();
        let entries = vec![entry("orders", &key), entry("payments", &key)];
        let open = self.recorder.write_begins(&self.name, entries);
        let reply = self.transaction(&key).await;
        self.recorder.write_ends(open, &reply);
        self.remember("orders", key, &reply);
    }

    async fn transaction(&mut self, key: &str) -> Reply<()> {
        let begun = self.caller.run("BEGIN").await;
        match begun {
            Reply::Done(()) => {}
            Reply::NotRun { .. } | Reply::NotConnected { .. } => return begun,
            _ => return self.abandon().await,
        }
        for table in ["orders", "payments"] {
            let statement = format!("INSERT INTO {table} (key, value) VALUES ($1, $2)");
            let reply = self.caller.execute(&statement, &[&key, &ONCE]).await;
            if !matches!(reply, Reply::Done(_)) {
                return self.abandon().await;
            }
        }
        let reply = self.caller.run("COMMIT").await;
        if !matches!(reply, Reply::Done(())) {
            self.caller.move_on();
        }
        reply
    }

    /// Ends a transaction that can't be committed. Without a commit nothing of it is applied.
    async fn abandon(&mut self) -> Reply<()> {
        self.caller.move_on();
        Reply::RolledBack
    }

    async fn lookup(&mut self, table: &'static str, key: &str) {
        let history_key = history_key(table, key);
        let open = self.recorder.lookup_begins(&self.name, &history_key.0);
        let statement = format!("SELECT value FROM {table} WHERE key = $1");
        let reply = self.caller.query(&statement, &[&key]).await;
        let answer = match reply {
            Reply::Done(rows) => match rows.first() {
                Some(row) => found(row.get(0)),
                None => LookupAnswer::Absent,
            },
            _ => LookupAnswer::Failed,
        };
        self.recorder.lookup_ends(open, answer);
    }

    fn next_key(&self) -> String {
        format!("{}-{}", self.name, self.writes)
    }

    fn remember<T>(&mut self, table: &'static str, key: String, reply: &Reply<T>) {
        if matches!(reply, Reply::Done(_)) {
            self.own = Some(OwnWrite { table, key });
        }
    }
}

/// Keeps the choices of callers with neighbouring seeds apart.
const SEED_STRIDE: u64 = 1_000_003;

fn entry(table: &str, key: &str) -> Entry {
    Entry {
        key: history_key(table, key),
        value: ONCE.to_owned(),
    }
}

/// A counter at zero has not been written yet.
fn found(value: String) -> LookupAnswer {
    if value == "0" {
        LookupAnswer::Absent
    } else {
        LookupAnswer::Found(value)
    }
}
