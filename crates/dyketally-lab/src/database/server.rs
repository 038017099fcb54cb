//! What all tasks of one database share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dyketally::group::{MemberStatus, Role};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use pgwire::api::ConnectionManager;
use tokio::sync::{Notify, watch};

use super::error::SqlError;
use super::replication::{Member, MemberSettings};
use super::settings::DatabaseSettings;
use super::slots::Slots;
use super::sync::lock;
use super::transaction::Transaction;

/// The directions in which messages of a peer are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// Messages from the peer are dropped.
    pub inbound: bool,
    /// Messages to the peer are dropped.
    pub outbound: bool,
}

/// One database: its member of the group, its slots and its connections.
#[derive(Debug)]
pub struct Database {
    /// The settings it was started with.
    pub settings: DatabaseSettings,
    /// Statements that run.
    pub slots: Slots,
    /// Connections that are open.
    pub connections: Connections,
    /// Lets clients cancel statements.
    pub cancellations: Arc<ConnectionManager>,
    /// Told when entries were appended.
    pub appended: Notify,
    member: Mutex<Member>,
    leaving: watch::Sender<bool>,
    cuts: Mutex<BTreeMap<DatabaseName, Cut>>,
    replication_lag_ms: AtomicU64,
    reply_delay_us: AtomicU64,
    started_at: Instant,
}

impl Database {
    /// A database with an empty log.
    pub fn new(settings: DatabaseSettings) -> Self {
        let peers = settings.peers.iter().map(|peer| peer.name.clone());
        let member_settings = MemberSettings {
            name: settings.name.clone(),
            peers: peers.collect(),
            election_timeout: Duration::from_millis(settings.election_timeout_ms),
            heartbeat: Duration::from_millis(settings.heartbeat_ms),
            joining: settings.joining,
            seed: settings.seed.unwrap_or_else(rand::random),
        };
        let service_time = Duration::from_micros(settings.service_time_us);
        Self {
            slots: Slots::new(settings.slots, service_time),
            connections: Connections::new(settings.connection_limit),
            cancellations: Arc::new(ConnectionManager::new()),
            appended: Notify::new(),
            member: Mutex::new(Member::new(member_settings, Timestamp::ZERO)),
            leaving: watch::Sender::new(false),
            cuts: Mutex::new(BTreeMap::new()),
            replication_lag_ms: AtomicU64::new(settings.replication_lag_ms),
            reply_delay_us: AtomicU64::new(settings.reply_delay_us),
            started_at: Instant::now(),
            settings,
        }
    }

    /// Time since the database was started.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.started_at.elapsed()
    }

    /// Calls `action` with the member of the group and the present time.
    pub fn with_member<T>(&self, action: impl FnOnce(&mut Member, Timestamp) -> T) -> T {
        let mut member = lock(&self.member);
        action(&mut member, self.now())
    }

    /// Role, term and log position.
    pub fn status(&self) -> MemberStatus {
        self.with_member(|member, _| member.status())
    }

    /// Appends the writes of a transaction as one entry.
    ///
    /// # Errors
    /// When another transaction changed one of the rows, or the database isn't the primary.
    pub fn commit(&self, member: &mut Member, transaction: Transaction) -> Result<(), SqlError> {
        if transaction.is_empty() {
            return Ok(());
        }
        if member.role() != Role::Primary {
            return Err(SqlError::NoLongerPrimary);
        }
        if transaction.conflicts(member.store()) {
            return Err(SqlError::WriteConflict);
        }
        member
            .append(transaction.into_writes())
            .map_err(|_| SqlError::NoLongerPrimary)?;
        self.appended.notify_one();
        Ok(())
    }

    /// Takes no new connections, closes idle ones, and hands over when the last one has closed.
    pub fn leave(&self) {
        self.leaving.send_replace(true);
    }

    /// True once the database is leaving.
    pub fn is_leaving(&self) -> bool {
        *self.leaving.borrow()
    }

    /// Tells when the database starts to leave.
    pub fn watch_leaving(&self) -> watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// Which messages of `peer` are dropped.
    pub fn cut_from(&self, peer: &DatabaseName) -> Cut {
        lock(&self.cuts).get(peer).copied().unwrap_or_default()
    }

    /// Sets which messages of `peer` are dropped.
    pub fn set_cut(&self, peer: DatabaseName, cut: Cut) {
        lock(&self.cuts).insert(peer, cut);
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        lock(&self.cuts).clear();
    }

    /// Time by which what the primary sends is applied late.
    pub fn replication_lag(&self) -> Duration {
        Duration::from_millis(self.replication_lag_ms.load(Ordering::Relaxed))
    }

    /// Sets the replication lag.
    pub fn set_replication_lag(&self, milliseconds: u64) {
        self.replication_lag_ms
            .store(milliseconds, Ordering::Relaxed);
    }

    /// Time between a write's effect and its reply.
    pub fn reply_delay(&self) -> Duration {
        Duration::from_micros(self.reply_delay_us.load(Ordering::Relaxed))
    }

    /// Sets the time between a write's effect and its reply.
    pub fn set_reply_delay(&self, microseconds: u64) {
        self.reply_delay_us.store(microseconds, Ordering::Relaxed);
    }

    /// Admits a new connection.
    ///
    /// # Errors
    /// When the database takes no new connections, or has granted all.
    pub fn admit(self: &Arc<Self>) -> Result<AdmittedConnection, SqlError> {
        if self.is_leaving() {
            return Err(SqlError::ShuttingDown);
        }
        if self.with_member(|member, _| member.is_joining()) {
            return Err(SqlError::StartingUp);
        }
        if !self.connections.open() {
            return Err(SqlError::TooManyConnections);
        }
        Ok(AdmittedConnection {
            database: self.clone(),
        })
    }
}

/// Counts connections against a limit.
#[derive(Debug)]
pub struct Connections {
    limit: u64,
    open: AtomicU64,
    most_open: AtomicU64,
    refused: AtomicU64,
}

impl Connections {
    fn new(limit: u32) -> Self {
        Self {
            limit: u64::from(limit),
            open: AtomicU64::new(0),
            most_open: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    fn open(&self) -> bool {
        let limit = self.limit;
        let raise = |open| (open < limit).then_some(open + 1);
        let raised = self
            .open
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, raise);
        match raised {
            Ok(before) => {
                self.most_open.fetch_max(before + 1, Ordering::Relaxed);
                true
            }
            Err(_) => {
                self.refused.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }

    /// Connections that are open.
    pub fn count(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// The most connections that were open at one time.
    pub fn most(&self) -> u64 {
        self.most_open.load(Ordering::Relaxed)
    }

    /// Connections refused because of the limit.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }
}

/// A connection that counts as open until this is dropped.
#[derive(Debug)]
pub struct AdmittedConnection {
    database: Arc<Database>,
}

impl Drop for AdmittedConnection {
    fn drop(&mut self) {
        self.database
            .connections
            .open
            .fetch_sub(1, Ordering::Relaxed);
    }
}
