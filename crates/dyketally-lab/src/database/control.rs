//! The control address: sets faults and reads state over HTTP.

use std::sync::Arc;
use std::time::Duration;

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use dyketally::group::{LogPosition, MemberStatus, Role};
use dyketally::identifiers::DatabaseName;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::server::{Cut, Database};
use super::session::role_name;
use super::store::{LogEntry, RowWrite, Table};

/// What can be set while the database runs; what is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlSettings {
    /// Time by which this member applies what its primary sends late, in milliseconds.
    pub replication_lag_ms: Option<u64>,
    /// Time that a statement holds its slot, in microseconds.
    pub service_time_us: Option<u64>,
    /// Time between a write's effect and its reply, in microseconds.
    pub reply_delay_us: Option<u64>,
}

/// Messages to drop between this member and a peer. Both directions must be cut for a full cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutRequest {
    /// The peers.
    pub peers: Vec<DatabaseName>,
    /// Drop messages from them.
    pub inbound: bool,
    /// Drop messages to them.
    pub outbound: bool,
}

/// Whether a primary ignores higher terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StayLeadingRequest {
    /// True to ignore them.
    pub stay_leading: bool,
}

/// What a database is doing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DatabaseState {
    /// The database.
    pub name: DatabaseName,
    /// Its zone.
    pub zone: String,
    /// Its role, as the status statement names it.
    pub role: String,
    /// The highest term heard of or voted in.
    pub term: u64,
    /// Term of the last entry of the log.
    pub log_term: u64,
    /// Number of entries of the log.
    pub log_offset: u64,
    /// The database lost its log and has not caught up yet.
    pub joining: bool,
    /// The database is leaving.
    pub leaving: bool,
    /// Connections that are open.
    pub connections: u64,
    /// The most connections that were open at one time.
    pub most_connections: u64,
    /// Connections refused because all were granted.
    pub refused_connections: u64,
    /// Slots that are taken.
    pub busy_slots: u64,
    /// The most slots that were taken at one time.
    pub most_busy_slots: u64,
    /// Statements that have started so far; the status statement does not count.
    pub started_statements: u64,
    /// Replication lag, in milliseconds.
    pub replication_lag_ms: u64,
    /// Service time, in microseconds.
    pub service_time_us: u64,
}

impl DatabaseState {
    /// True when the database believes that it is the primary.
    pub fn is_primary(&self) -> bool {
        self.role == role_name(Role::Primary)
    }
}

/// One row of a table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRow {
    /// The key.
    pub key: String,
    /// The value; null when left out.
    pub value: Option<String>,
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Term and offset of the entry.
    pub position: LogPosition,
    /// The rows that it wrote.
    pub writes: Vec<RowWrite>,
}

type Shared = State<Arc<Database>>;

/// Serves the control address until `stopped`.
pub async fn serve_control(
    database: Arc<Database>,
    listener: TcpListener,
    stopped: CancellationToken,
) {
    let router = Router::new()
        .route("/state", get(state))
        .route("/table/{name}", get(table))
        .route("/log", get(log))
        .route("/settings", post(set))
        .route("/cut", post(cut))
        .route("/heal", post(heal))
        .route("/leave", post(leave))
        .route("/step-down", post(step_down))
        .route("/elect", post(elect))
        .route("/stay-leading", post(stay_leading))
        .with_state(database);
    let server = axum::serve(listener, router);
    if let Some(Err(error)) = stopped.run_until_cancelled(server.into_future()).await {
        log::error!("the control address failed: {error}; restart the database");
    }
}

async fn state(State(database): Shared) -> Json<DatabaseState> {
    let (status, joining) =
        database.with_member(|member, _| (member.status(), member.is_joining()));
    let MemberStatus { role, term, log } = status;
    let milliseconds = database.replication_lag().as_millis();
    let microseconds = database.slots.service_time().as_micros();
    Json(DatabaseState {
        name: database.settings.name.clone(),
        zone: database.settings.zone.clone(),
        role: role_name(role).to_owned(),
        term: term.0,
        log_term: log.term.0,
        log_offset: log.offset,
        joining,
        leaving: database.is_leaving(),
        connections: database.connections.count(),
        most_connections: database.connections.most(),
        refused_connections: database.connections.refused(),
        busy_slots: database.slots.busy(),
        most_busy_slots: database.slots.most_busy(),
        started_statements: database.slots.started(),
        replication_lag_ms: u64::try_from(milliseconds).unwrap_or(u64::MAX),
        service_time_us: u64::try_from(microseconds).unwrap_or(u64::MAX),
    })
}

async fn table(State(database): Shared, Path(name): Path<String>) -> Json<Vec<TableRow>> {
    let rows = database.with_member(|member, _| table_rows(member.store().table(&name)));
    Json(rows)
}

fn table_rows(table: Option<&Table>) -> Vec<TableRow> {
    let rows = table.into_iter().flatten();
    rows.map(|(key, row)| TableRow {
        key: key.clone(),
        value: row.value.clone(),
    })
    .collect()
}

async fn log(State(database): Shared) -> Json<Vec<LogRecord>> {
    let entries = database.with_member(|member, _| member.store().entries_after(0, usize::MAX));
    let records = entries.iter().zip(1..);
    Json(
        records
            .map(|(entry, offset)| log_record(entry, offset))
            .collect(),
    )
}

fn log_record(entry: &LogEntry, offset: u64) -> LogRecord {
    let term = entry.term;
    LogRecord {
        position: LogPosition { term, offset },
        writes: entry.writes.clone(),
    }
}

async fn set(State(database): Shared, Json(settings): Json<ControlSettings>) -> StatusCode {
    if let Some(milliseconds) = settings.replication_lag_ms {
        database.set_replication_lag(milliseconds);
    }
    if let Some(microseconds) = settings.service_time_us {
        let service_time = Duration::from_micros(microseconds);
        database.slots.set_service_time(service_time);
    }
    if let Some(microseconds) = settings.reply_delay_us {
        database.set_reply_delay(microseconds);
    }
    StatusCode::NO_CONTENT
}

async fn cut(State(database): Shared, Json(request): Json<CutRequest>) -> StatusCode {
    for peer in request.peers {
        let cut = Cut {
            inbound: request.inbound,
            outbound: request.outbound,
        };
        database.set_cut(peer, cut);
    }
    StatusCode::NO_CONTENT
}

async fn heal(State(database): Shared) -> StatusCode {
    database.heal();
    StatusCode::NO_CONTENT
}

async fn leave(State(database): Shared) -> StatusCode {
    database.leave();
    StatusCode::NO_CONTENT
}

async fn step_down(State(database): Shared) -> StatusCode {
    database.with_member(|member, now| member.step_down(now));
    database.appended.notify_one();
    StatusCode::NO_CONTENT
}

async fn elect(State(database): Shared) -> StatusCode {
    database.with_member(|member, now| member.elect(now));
    database.appended.notify_one();
    StatusCode::NO_CONTENT
}

async fn stay_leading(
    State(database): Shared,
    Json(request): Json<StayLeadingRequest>,
) -> StatusCode {
    database.with_member(|member, _| member.set_stay_leading(request.stay_leading));
    StatusCode::NO_CONTENT
}
