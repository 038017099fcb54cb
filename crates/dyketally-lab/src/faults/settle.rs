//! After the faults: waits until the group has one log, and adds the final state to the history.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dyketally::history::{Event, Key, RequestNumber, Statement, TransactionEnd, TransactionName};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use eyre::{OptionExt, ensure};
use tokio::time::sleep;

use crate::database::{LogRecord, RowChange, RowWrite};
use crate::testbed::{AdminClient, Configuration, Group, history_key, poll_until};

use super::observe::Restarts;
use super::stage::{NOT_POSTED, READY_LIMIT, Stage};

/// Time in which a log must not grow any more: requests that were held may still arrive.
const QUIET: Duration = Duration::from_millis(700);

/// Looks at the log before it is given up that it stays as it is.
const LOOKS: u32 = 30;

/// Time that an accepted change has to be in force on each proxy once nothing fails any more.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// Adds the final log, and the proxies' final configurations, to the history.
pub(super) async fn record_final_state(stage: &Stage, restarts: &Restarts) -> eyre::Result<()> {
    let log = final_log(&stage.group).await?;
    let events = log_events(&stage.recorder.events(), &log);
    for event in events {
        stage.recorder.push(event);
    }
    if stage.topology.site.configuration == Configuration::Platform {
        record_final_configurations(stage, restarts).await?;
    }
    Ok(())
}

/// The log of all members, once it is the same everywhere and stays as it is.
async fn final_log(group: &Group) -> eyre::Result<Vec<LogRecord>> {
    let mut last = None;
    for _ in 0..LOOKS {
        group.primary().await?;
        group.caught_up().await?;
        let log = common_log(group).await?;
        if last.as_ref() == Some(&log) {
            return Ok(log);
        }
        last = Some(log);
        sleep(QUIET).await;
    }
    eyre::bail!(
        "the log of {} still grows; see which callers still write",
        group.name
    )
}

async fn common_log(group: &Group) -> eyre::Result<Vec<LogRecord>> {
    let mut logs = Vec::new();
    for member in &group.members {
        logs.push(member.control.log().await?);
    }
    let log = logs.pop().ok_or_eyre("the group has no members")?;
    ensure!(
        logs.iter().all(|other| *other == log),
        "the members of {} hold different logs; see their logs",
        group.name
    );
    Ok(log)
}

async fn record_final_configurations(stage: &Stage, restarts: &Restarts) -> eyre::Result<()> {
    let accepted = stage.newest_accepted();
    for proxy in 0..stage.topology.proxies.len() {
        let admin: &AdminClient = &stage.admin;
        let in_force = || async {
            let revision = admin.status(proxy).await.ok()?.revision;
            (revision >= accepted).then_some(())
        };
        // What it has in force instead is recorded below and judged by the checker.
        let _ = poll_until("configuration", IN_FORCE_LIMIT, in_force).await;
        let told = || async { admin.status(proxy).await.ok() };
        let status = poll_until("proxy", READY_LIMIT, told).await?;
        stage.recorder.push(Event::FinalConfiguration {
            node: restarts.node(proxy),
            revision: status.revision,
        });
    }
    Ok(())
}

/// What the final log shows: which requests were committed, together or not, and the entries.
pub fn log_events(history: &[Event], log: &[LogRecord]) -> Vec<Event> {
    let requests = requests_by_key(history);
    let mut events = Vec::new();
    let mut entries: BTreeMap<Key, FinalEntry> = BTreeMap::new();
    for record in log {
        let writes: Vec<AppliedWrite> = record.writes.iter().filter_map(applied).collect();
        events.extend(committed(record, &writes, &requests));
        for write in writes {
            let entry = entries.entry(write.key).or_default();
            entry.value = write.value;
            entry.times += 1;
        }
    }
    let entries = entries.into_iter();
    events.extend(entries.map(|(key, entry)| Event::FinalEntry {
        key,
        value: entry.value,
        times: entry.times,
    }));
    events
}

#[derive(Default)]
struct FinalEntry {
    value: String,
    times: u64,
}

struct AppliedWrite {
    key: Key,
    value: String,
}

/// A write of a caller; none for the zeros that counters begin with.
fn applied(write: &RowWrite) -> Option<AppliedWrite> {
    let RowChange::Put(value) = &write.change else {
        return None;
    };
    let value = value.clone().unwrap_or_default();
    let key = history_key(&write.row.table, &write.row.key);
    (value != NOT_POSTED).then_some(AppliedWrite { key, value })
}

fn requests_by_key(history: &[Event]) -> HashMap<Key, RequestNumber> {
    let begun = history.iter().filter_map(|event| match event {
        Event::WriteBegan(write) => Some(write),
        _ => None,
    });
    let keys = begun.flat_map(|write| {
        let entries = write.entries.iter();
        entries.map(|entry| (entry.key.clone(), write.request))
    });
    keys.collect()
}

/// One transaction of the log for each request that it holds writes of: statements of several
/// requests in one transaction show as mixed.
fn committed(
    record: &LogRecord,
    writes: &[AppliedWrite],
    requests: &HashMap<Key, RequestNumber>,
) -> Vec<Event> {
    let mut together: Vec<RequestNumber> = Vec::new();
    for write in writes {
        match requests.get(&write.key) {
            Some(request) if !together.contains(request) => together.push(*request),
            _ => {}
        }
    }
    let offset = record.position.offset;
    let count = together.len();
    let statement = |(index, request): (usize, &RequestNumber)| {
        Event::Statement(Statement {
            database: DatabaseName::new(FINAL_LOG),
            connection: offset,
            transaction: TransactionName(format!("{FINAL_LOG}/{offset}/{}", request.0)),
            write: Some(*request),
            end: (index + 1 == count).then_some(TransactionEnd::Committed),
            at: Timestamp::ZERO,
        })
    };
    together.iter().enumerate().map(statement).collect()
}

/// The name under which the final log's transactions stand in the history.
const FINAL_LOG: &str = "final-log";
