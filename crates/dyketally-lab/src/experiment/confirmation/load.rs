//! A few callers that send one kind of statement for a short time.

use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::bench::{Caller, Reply};

use super::way::{Target, Way};

/// Callers of each way.
const CALLERS: usize = 4;

/// Time that each way is measured in each round.
const SLICE: Duration = Duration::from_millis(900);

/// Statements of each caller before it is measured.
const WARM_UP: usize = 4;

/// The row that reads ask for.
pub(super) const STOCK_KEY: &str = "part-0";

/// Makes the proxy forget what the session has seen.
const FORGET: &str = "SET dyketally.session = ''";

/// What one way cost in one round.
#[derive(Debug, Default)]
pub(super) struct Measured {
    /// Where the primary, its home and the readers were.
    pub(super) place: String,
    /// Time of each answered statement, in milliseconds.
    pub(super) latencies_ms: Vec<f64>,
    /// Statements of unknown outcome.
    pub(super) unknown: usize,
    /// Statements that were not run.
    pub(super) not_run: usize,
    /// Statements that ended in another way.
    pub(super) refused: usize,
}

impl Measured {
    /// Answered statements for each second.
    pub(super) fn rate(&self) -> f64 {
        self.latencies_ms.len() as f64 / SLICE.as_secs_f64()
    }

    fn count(&mut self, reply: &Reply<()>, took: Duration) {
        match reply {
            Reply::Done(()) => self.latencies_ms.push(took.as_secs_f64() * 1_000.0),
            Reply::Unknown => self.unknown += 1,
            Reply::NotRun { .. } | Reply::NotConnected { .. } => self.not_run += 1,
            Reply::RolledBack | Reply::Refused { .. } => self.refused += 1,
        }
    }

    fn add(&mut self, other: Measured) {
        self.latencies_ms.extend(other.latencies_ms);
        self.unknown += other.unknown;
        self.not_run += other.not_run;
        self.refused += other.refused;
    }
}

/// The load of one way in one round.
#[derive(Debug)]
pub(super) struct Load {
    name: String,
    way: Way,
    target: Target,
}

impl Load {
    /// A load whose writes begin their keys with `name`, which holds no quotes.
    pub(super) fn new(name: &str, way: Way, target: Target) -> Self {
        Self {
            name: name.to_owned(),
            way,
            target,
        }
    }

    /// Runs all callers and adds up what they measured.
    pub(super) async fn run(self) -> eyre::Result<Measured> {
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let caller = LoadCaller {
                caller: Caller::new(self.target.callers.clone(), 0),
                way: self.way,
                prefix: format!("{}-{number}", self.name),
                statements: 0,
            };
            callers.spawn(caller.run());
        }
        let mut measured = Measured {
            place: self.target.place,
            ..Measured::default()
        };
        while let Some(caller) = callers.join_next().await {
            measured.add(caller??);
        }
        Ok(measured)
    }
}

#[derive(Debug)]
struct LoadCaller {
    caller: Caller,
    way: Way,
    prefix: String,
    statements: usize,
}

impl LoadCaller {
    async fn run(mut self) -> eyre::Result<Measured> {
        for _ in 0..WARM_UP {
            self.send().await?;
        }
        let mut measured = Measured::default();
        let end = Instant::now() + SLICE;
        while Instant::now() < end {
            let (reply, took) = self.send().await?;
            measured.count(&reply, took);
        }
        Ok(measured)
    }

    async fn send(&mut self) -> eyre::Result<(Reply<()>, Duration)> {
        if self.way == Way::ReadWithoutPosition {
            self.caller.run(FORGET).await.done()?;
        }
        self.statements += 1;
        let statement = self.statement();
        let began = Instant::now();
        let reply = self.caller.run(&statement).await;
        Ok((reply, began.elapsed()))
    }

    fn statement(&self) -> String {
        if !self.way.writes() {
            return format!("SELECT value FROM stock WHERE key = '{STOCK_KEY}'");
        }
        let key = format!("{}-{}", self.prefix, self.statements);
        format!("INSERT INTO confirmation (key, value) VALUES ('{key}', '1')")
    }
}
