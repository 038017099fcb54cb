//! A roaming session that mostly reads.

use std::time::{Duration, Instant};

use dyketally::group::LogPosition;
use dyketally::session::SessionToken;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::bench::{Caller, Reply, Topology};

use super::oracle::ReadSample;

/// Chance that the session roams before a request.
const ROAM_CHANCE: f64 = 0.05;

/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(2);

/// Time after which the session gives up on a statement.
const PATIENCE: Duration = Duration::from_secs(5);

/// Where a session's reads go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionKind {
    /// Where the proxies send them.
    Ours,
    /// To the primary, all of them.
    PrimaryOnly,
}

/// One session of the load.
#[derive(Debug)]
pub(super) struct SessionLoad {
    kind: SessionKind,
    caller: Caller,
    proxies: usize,
    prefix: String,
    write_share: f64,
    random: StdRng,
    writes: usize,
    own_key: Option<String>,
    reads: Vec<ReadSample>,
}

impl SessionLoad {
    pub(super) fn new(
        kind: SessionKind,
        number: usize,
        topology: &Topology,
        label: &str,
        write_share: f64,
        seed: u64,
    ) -> Self {
        let tenant = &topology.site.tenants[0].name;
        let settings = topology.callers(tenant, PATIENCE);
        Self {
            kind,
            proxies: settings.proxies.len(),
            caller: Caller::new(settings, number),
            prefix: format!("{label}-{kind:?}-{number}"),
            write_share,
            random: StdRng::seed_from_u64(seed.wrapping_add(number as u64)),
            writes: 0,
            own_key: None,
            reads: Vec::new(),
        }
    }

    /// Sends requests until `end`; gives the reads that were answered.
    pub(super) async fn run_until(mut self, end: Instant) -> Vec<ReadSample> {
        self.write().await;
        while Instant::now() < end {
            if self.random.random_bool(ROAM_CHANCE) {
                let proxy = self.random.random_range(0..self.proxies);
                self.caller.roam(proxy);
            }
            if self.random.random_bool(self.write_share) {
                self.write().await;
            } else {
                self.read().await;
            }
            sleep(PAUSE).await;
        }
        self.reads
    }

    async fn write(&mut self) {
        self.writes += 1;
        let key = format!("{}-{}", self.prefix, self.writes);
        let statement = "INSERT INTO orders (key, value) VALUES ($1, '1')";
        if let Reply::Done(_) = self.caller.execute(statement, &[&key]).await {
            self.own_key = Some(key);
        }
    }

    async fn read(&mut self) {
        // Opening a session after roaming is no part of a read.
        if self.caller.session().await.is_err() {
            return;
        }
        if self.kind == SessionKind::PrimaryOnly {
            // Without a token, the confirmed primary serves the next read.
            let _ = self.caller.run("SET dyketally.session = ''").await;
        }
        let seen = self.seen();
        let began = Instant::now();
        let reply = self.read_own_or_stock().await;
        if let Reply::Done(rows) = reply {
            self.reads.push(ReadSample {
                began,
                ended: Instant::now(),
                seen,
                missed_own_write: rows == 0,
            });
        }
    }

    async fn read_own_or_stock(&mut self) -> Reply<usize> {
        let (table, key) = match &self.own_key {
            Some(key) => ("orders", key.as_str()),
            None => ("stock", "part-0"),
        };
        let statement = format!("SELECT value FROM {table} WHERE key = '{key}'");
        match self.caller.texts(&statement).await {
            Reply::Done(rows) => Reply::Done(rows.len()),
            _ => Reply::Unknown,
        }
    }

    fn seen(&self) -> Option<LogPosition> {
        let token: SessionToken = self.caller.token()?.parse().ok()?;
        Some(token.seen)
    }
}
