//! Structured log: one JSON line for each event, with a limit of lines per second.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::Write;

use dyketally::identifiers::NodeName;
use serde::Serialize;
use tokio::time::Instant;

use crate::counters::Counters;

/// Maximum number of lines written per second; lines beyond it are only counted as dropped.
const LINES_PER_SECOND: u32 = 60;
/// Lines on single statements are dropped once this many lines have been written in a second. The rest is
/// reserved for other events, such as a failover that explains many failed statements.
const STATEMENT_LINES_PER_SECOND: u32 = 40;

/// An event of the log; `docs/logs.md` documents the names of events and fields.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event<'a> {
    /// The process has started and accepts sessions.
    Started {
        /// This node's name.
        node: &'a str,
    },
    /// The process was notified that its settings file changed.
    SettingsChanged {
        /// What the change does to the running process.
        effect: &'a str,
    },
    /// The process was requested to stop.
    Stopping {
        /// Number of open sessions.
        sessions: usize,
    },
    /// The process ends.
    Stopped {
        /// Number of sessions that were still open and were closed.
        sessions: usize,
    },
    /// A configuration has become the current one.
    ConfigurationInForce {
        /// The configuration's revision.
        revision: u64,
        /// Number of routes in the configuration.
        routes: usize,
        /// The store's revision at which the configuration was put.
        stored: u64,
    },
    /// A configuration that this node received was ignored, since its revision is lower than the current
    /// one's.
    ConfigurationNotNewer {
        /// The revision of the ignored configuration.
        revision: u64,
        /// The revision of the current configuration.
        in_force: u64,
        /// The store's revision at which the ignored configuration was put.
        stored: u64,
    },
    /// A document written by operators arrived, newer than this node's version.
    ConfigurationReceived {
        /// The document's key.
        key: String,
        /// The store's revision at which the document was put.
        stored: u64,
        /// The sender: the store, or the address of a relay.
        source: String,
        /// Whether the document came in a copy of all documents, alone, or as a difference.
        form: Form,
        /// The decoded document's length in bytes.
        bytes: usize,
    },
    /// Documents written by operators were passed on to the nodes that follow this one.
    ConfigurationPassedOn {
        /// The store's revision that the followers have afterwards.
        stored: u64,
        /// Whether a copy of all documents, one document, or a difference was sent.
        form: Form,
        /// Number of bytes sent to each follower.
        bytes: usize,
        /// Number of followers.
        followers: usize,
    },
    /// Neither the store nor a relay has confirmed for some time that this node's configuration is the newest.
    ConfigurationUnconfirmed {
        /// Time since the last confirmation, in milliseconds.
        confirmed_ms_ago: u64,
        /// The source that should confirm the configuration: the store, or the address of a relay.
        source: String,
        /// How long this node's own watch of the store has been lost, in milliseconds; none while the watch
        /// is active.
        watch_lost_for_ms: Option<u64>,
    },
    /// This node's configuration is confirmed again to be the newest.
    ConfigurationConfirmed,
    /// A document in the store is invalid and was ignored.
    DocumentRefused {
        /// The document's key.
        key: &'a str,
        /// What is wrong with the document.
        reason: &'a str,
    },
    /// This node has no room for further sessions and so isn't ready, or has room again.
    SessionsFull {
        /// True when there is no room.
        full: bool,
        /// Number of open sessions.
        open: u32,
    },
    /// Operators requested the evacuation of a zone: its databases get no further requests.
    EvacuationBegan {
        /// The zone.
        zone: &'a str,
        /// False when the settings contain no zone of this name; check the name.
        is_known: bool,
        /// False when all zones are evacuated, so that no statement can run.
        leaves_a_zone: bool,
    },
    /// The evacuation of a zone ended: its databases may be used again.
    EvacuationEnded {
        /// The zone.
        zone: &'a str,
    },
    /// A route or tenant is bound to a region that no zone of the settings is in; check the region's name.
    RegionUnknown {
        /// The region.
        region: &'a str,
    },
    /// A statement was refused since no database may run it. Not every such statement is logged: there is a
    /// minimum time between two of these lines for the same group.
    ServedNowhere {
        /// The statement's group.
        group: &'a str,
        /// The statement's route.
        route: &'a str,
        /// The regions that both the route and the tenant allow.
        regions: String,
        /// Why no database may run the statement, and what an operator can do.
        reason: String,
    },
    /// A database has just started and gets requests only at its slow-start rate.
    DatabaseCold {
        /// The database.
        database: &'a str,
        /// The database's group.
        group: &'a str,
        /// How much longer the database is cold according to its announcement, in milliseconds.
        cold_for_ms: u64,
    },
    /// A database appeared, left or changed.
    DirectoryChanged {
        /// What changed.
        change: String,
    },
    /// A node whose liveness this node checks sent no heartbeat for so long that its key is removed from the
    /// store.
    NodeGone {
        /// The node.
        node: &'a str,
        /// False when the key wasn't removed, since it had changed or the store didn't answer.
        removed: bool,
    },
    /// This node stopped watching the store itself and follows a relay.
    RelayFollowed {
        /// The relay's address.
        relay: String,
    },
    /// This node lost the relay that it followed.
    RelayLost {
        /// The relay's address.
        relay: String,
        /// Why the relay was lost.
        reason: &'a str,
    },
    /// This node lost its watch of the store.
    StoreLost {
        /// The prefix of the keys that were watched.
        prefix: &'a str,
        /// The error that the store or the connection reported.
        reason: String,
    },
    /// This node watches the store again.
    StoreRegained {
        /// The prefix of the keys that are watched.
        prefix: &'a str,
    },
    /// This node has become the failover coordinator, which replaces primaries.
    DutyTaken {
        /// The fencing token of this node's term.
        token: u64,
    },
    /// This node is no longer the failover coordinator.
    DutyLost {
        /// Why the term ended.
        reason: &'a str,
    },
    /// Neither the store nor enough nodes have replied to this node recently, so that it might miss the
    /// replacement of a primary. It checks each primary's answers at the group's other databases.
    Isolated,
    /// This node is no longer isolated: it would be notified of the replacement of a primary.
    InTouch,
    /// This node can't determine any longer whether callers' keys are valid, and refuses operations that need
    /// one.
    KeysUncertain {
        /// Time since the keys were last confirmed, in milliseconds; none if they never were.
        confirmed_ms_ago: Option<u64>,
    },
    /// This node has confirmed again which keys are valid.
    KeysConfirmed,
    /// A primary doesn't answer this node.
    PrimarySuspected {
        /// The primary's group.
        group: &'a str,
        /// The primary.
        database: &'a str,
        /// How the primary failed to answer.
        evidence: String,
    },
    /// Nodes were polled on whether they reach a primary.
    PrimaryPolled {
        /// The primary's group.
        group: &'a str,
        /// The primary.
        database: &'a str,
        /// The nodes' votes.
        evidence: String,
        /// The result of the poll.
        verdict: String,
    },
    /// A fence was set: this node no longer treats a database as the primary of its group, since the database
    /// may be replaced.
    FencePutUp {
        /// The fenced database.
        database: &'a str,
        /// The source of the fence: the store or the kind of message that brought it.
        source: &'a str,
    },
    /// A fence was cleared: a database may be treated as the primary of its group again.
    FenceLifted {
        /// The database.
        database: &'a str,
    },
    /// A step of replacing a primary.
    FailoverStep {
        /// The primary's group.
        group: &'a str,
        /// The step.
        step: &'a str,
        /// The result of the step.
        detail: String,
    },
    /// A limit for callers acted. Each limit is logged once a second at most.
    CallerLimited {
        /// The limit.
        limit: &'a str,
        /// The caller's address; none where another node speaks for the caller.
        caller: Option<String>,
        /// Number of times that the limit acted since its last line, without this time.
        unlogged: u64,
    },
    /// The counters since the start of the process.
    Counters(&'a Counters),
    /// Bytes sent to other nodes since the start of the process.
    Traffic {
        /// Bytes sent to each node, by name.
        sent_bytes: BTreeMap<NodeName, u64>,
    },
    /// A statement was answered with a failure of the gateway's own, or only on a further attempt.
    StatementDecided {
        /// The caller's name for the attempt.
        id: &'a str,
        /// The statement's group.
        group: &'a str,
        /// The statement's tenant; `none` without a tenant.
        tenant: &'a str,
        /// The kind of the answer that the caller got.
        outcome: String,
        /// The reason for the outcome.
        reason: &'a str,
        /// Number of attempts made at databases.
        attempts: u32,
        /// Time since the statement arrived, in milliseconds.
        elapsed_ms: u64,
    },
}

/// How much of the documents written by operators a message contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Form {
    /// All keys with their values.
    Copy,
    /// One key with its new value.
    Change,
    /// One key with the difference between its old and its new value.
    Difference,
}

/// One line of the log.
#[derive(Serialize)]
pub struct Line<'a> {
    /// Time since the start of the process, in milliseconds.
    pub at_ms: u64,
    /// Number of lines dropped since the preceding line.
    pub dropped: u32,
    /// The event, whose name and fields are part of the same JSON object.
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
    /// Creates a log whose times count from now.
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
    /// Writes an event, or counts it as dropped if this second's limit is reached.
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
            // The gateway continues if its log can't be written.
            let _ = std::io::stdout().write_all(&buffer);
        }
    }
}
