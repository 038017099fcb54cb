//! Structured log: one JSON line for each decision, bounded in lines per second.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write;

use dyketally::identifiers::NodeName;
use serde::Serialize;
use tokio::time::Instant;

use crate::counters::Counters;

/// Lines written per second; further ones are counted.
const LINES_PER_SECOND: u32 = 60;
/// Of these, lines on single statements: what explains many of them must not be dropped for them.
const STATEMENT_LINES_PER_SECOND: u32 = 40;

/// What happened. Field names are documented in `docs/logs.md`.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process serves.
    Started {
        /// The node.
        node: &'a str,
    },
    /// The process was told that its settings changed.
    SettingsChanged {
        /// What comes of it.
        effect: &'a str,
    },
    /// The process was asked to stop.
    Stopping {
        /// Sessions that are open.
        sessions: usize,
    },
    /// The process ends.
    Stopped {
        /// Sessions that were cut off.
        sessions: usize,
    },
    /// A configuration is in force.
    ConfigurationInForce {
        /// Its revision.
        revision: u64,
        /// Its routes.
        routes: usize,
        /// The store's revision at which it was put.
        stored: u64,
    },
    /// A configuration that this node received isn't put in force, since it isn't newer than the one
    /// that is.
    ConfigurationNotNewer {
        /// Its revision.
        revision: u64,
        /// The revision in force.
        in_force: u64,
        /// The store's revision at which it was put.
        stored: u64,
    },
    /// A document of the operators' that is newer than this node's arrived.
    ConfigurationReceived {
        /// Its key.
        key: String,
        /// The store's revision at which it was put.
        stored: u64,
        /// Who told: the store, or the address of a relay.
        source: String,
        /// Whether it came with all others, alone, or as a difference.
        form: Form,
        /// Its length in bytes, once it is decoded.
        bytes: usize,
    },
    /// What operators wrote was passed on to the nodes that follow this one.
    ConfigurationPassedOn {
        /// The store's revision that it brings them to.
        stored: u64,
        /// Whether all documents were sent, one, or a difference.
        form: Form,
        /// Bytes sent to each follower.
        bytes: usize,
        /// Followers.
        followers: usize,
    },
    /// Nobody has confirmed for a while that this node's configuration is the newest one.
    ConfigurationUnconfirmed {
        /// How long ago that was confirmed last, in milliseconds.
        confirmed_ms_ago: u64,
        /// Who should tell: the store, or the address of a relay.
        source: String,
        /// How long this node's own watch of the store has been lost, in milliseconds; none while it
        /// stands.
        watch_lost_for_ms: Option<u64>,
    },
    /// This node's configuration is confirmed again.
    ConfigurationConfirmed,
    /// A document in the store can't be used.
    DocumentRefused {
        /// Its key.
        key: &'a str,
        /// What is wrong.
        reason: &'a str,
    },
    /// This node has no room for further sessions, so it isn't ready; or it has room again.
    SessionsFull {
        /// True while there is no room.
        full: bool,
        /// Sessions that are open.
        open: u32,
    },
    /// Operators request that the databases of a zone get nothing more.
    EvacuationBegan {
        /// The zone.
        zone: &'a str,
        /// False when the settings name no such zone; check its name.
        is_known: bool,
        /// False when all zones are evacuated, so that nothing can be served.
        leaves_a_zone: bool,
    },
    /// A zone's databases may be used again.
    EvacuationEnded {
        /// The zone.
        zone: &'a str,
    },
    /// A route or tenant is bound to a region that no zone of the settings is in; check its name.
    RegionUnknown {
        /// The region.
        region: &'a str,
    },
    /// Statements were refused since no database may serve them, once for each group and reason in a
    /// while.
    ServedNowhere {
        /// The group.
        group: &'a str,
        /// The route.
        route: &'a str,
        /// The regions that its route and its tenant allow.
        regions: String,
        /// Why, and what an operator can do.
        reason: String,
    },
    /// A database has just started and gets only its slow-start rate.
    DatabaseCold {
        /// The database.
        database: &'a str,
        /// Its group.
        group: &'a str,
        /// How much longer by its announcement, in milliseconds.
        cold_for_ms: u64,
    },
    /// A database appeared, left or changed.
    DirectoryChanged {
        /// What changed.
        change: String,
    },
    /// A node that this one watches over was silent for so long that its key is removed.
    NodeGone {
        /// The node.
        node: &'a str,
        /// False when its key had changed, or the store didn't answer.
        removed: bool,
    },
    /// This node no longer watches the store but follows a relay.
    RelayFollowed {
        /// The relay.
        relay: String,
    },
    /// The relay that this node followed is lost.
    RelayLost {
        /// The relay.
        relay: String,
        /// Why.
        reason: &'a str,
    },
    /// The store was lost.
    StoreLost {
        /// What is followed there.
        prefix: &'a str,
        /// What the store reported.
        reason: String,
    },
    /// The store is back.
    StoreRegained {
        /// What is followed there.
        prefix: &'a str,
    },
    /// This node is the failover coordinator from now on: it replaces primaries.
    DutyTaken {
        /// Its fencing token.
        token: u64,
    },
    /// This node is the failover coordinator no longer.
    DutyLost {
        /// Why.
        reason: &'a str,
    },
    /// Neither the store nor enough nodes have replied to this node lately, so it checks each primary's
    /// answers at the group's other databases.
    Isolated,
    /// This node would hear again of primaries that are replaced.
    InTouch,
    /// This node can't know any longer whether keys of callers still stand, and refuses what needs one.
    KeysUncertain {
        /// How long ago they were confirmed last, in milliseconds; none if they never were.
        confirmed_ms_ago: Option<u64>,
    },
    /// This node knows again which keys stand.
    KeysConfirmed,
    /// A primary doesn't answer this node.
    PrimarySuspected {
        /// The group.
        group: &'a str,
        /// The primary.
        database: &'a str,
        /// What was seen.
        evidence: String,
    },
    /// The nodes were asked about a primary.
    PrimaryPolled {
        /// The group.
        group: &'a str,
        /// The primary.
        database: &'a str,
        /// What they saw.
        evidence: String,
        /// What follows.
        verdict: String,
    },
    /// A database isn't taken for the leader of its group any more, since it may be replaced.
    FencePutUp {
        /// The database.
        database: &'a str,
        /// Who told.
        source: &'a str,
    },
    /// A database may be taken for the leader of its group again.
    FenceLifted {
        /// The database.
        database: &'a str,
    },
    /// A step of replacing a primary.
    FailoverStep {
        /// The group.
        group: &'a str,
        /// The step.
        step: &'a str,
        /// What it found or did.
        detail: String,
    },
    /// What the process has done since its start.
    Counters(&'a Counters),
    /// Bytes sent to each other node since the start.
    Traffic {
        /// By node.
        sent_bytes: BTreeMap<NodeName, u64>,
    },
    /// A statement was answered with a failure of the gateway's own, or only on a further attempt.
    StatementDecided {
        /// The caller's name for the attempt.
        id: &'a str,
        /// The group.
        group: &'a str,
        /// Whose the statement is.
        tenant: &'a str,
        /// What the caller was told.
        outcome: String,
        /// Why.
        reason: &'a str,
        /// Attempts made at databases.
        attempts: u32,
        /// Milliseconds since the statement arrived.
        elapsed_ms: u64,
    },
}

/// How much of the configuration a message holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// All keys.
    Copy,
    /// One key with its new value.
    Change,
    /// One key with what is new in its value.
    Difference,
}

/// One line of the log.
#[derive(Serialize)]
pub struct Line<'a> {
    /// Milliseconds since the start of the process.
    pub at_ms: u64,
    /// Lines that were dropped since the one before.
    pub dropped: u32,
    /// What happened.
    #[serde(flatten)]
    pub event: &'a Event<'a>,
}

/// Writes events to standard output.
pub struct EventLog {
    started: Instant,
    second: Cell<u64>,
    written: Cell<u32>,
    dropped: Cell<u32>,
    buffer: RefCell<Vec<u8>>,
}

impl Default for EventLog {
    /// A log that starts now.
    fn default() -> Self {
        Self {
            started: Instant::now(),
            second: Cell::new(0),
            written: Cell::new(0),
            dropped: Cell::new(0),
            buffer: RefCell::default(),
        }
    }
}

impl EventLog {
    /// Writes an event, or counts it when this second's lines are used up.
    pub fn write(&self, event: &Event<'_>) {
        let elapsed = self.started.elapsed();
        if self.second.replace(elapsed.as_secs()) != elapsed.as_secs() {
            self.written.set(0);
        }
        let limit = match event {
            Event::StatementDecided { .. } => STATEMENT_LINES_PER_SECOND,
            _ => LINES_PER_SECOND,
        };
        if self.written.get() >= limit {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        let line = Line {
            at_ms: elapsed.as_millis() as u64,
            dropped: self.dropped.take(),
            event,
        };
        let mut buffer = self.buffer.borrow_mut();
        buffer.clear();
        if serde_json::to_writer(&mut *buffer, &line).is_ok() {
            buffer.push(b'\n');
            // A log that can't be written must not stop the gateway.
            let _ = std::io::stdout().write_all(&buffer);
        }
    }
}
