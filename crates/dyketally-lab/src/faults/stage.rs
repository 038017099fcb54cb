//! What a case acts on: the running site, its rows, and the callers that send requests.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use dyketally::history::{
    Entry, Event, RequestNumber, SessionName, WriteBegan, WriteEnded, WriteOutcome,
};
use dyketally::policy::{Repeat, Revision};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::testbed::{
    AdminClient, Configuration, DATABASE, Group, InitialRows, Mix, Operator, Recorder, STOCK_VALUE,
    SessionClient, Topology, WorkloadCaller, history_key, poll_until,
};

use super::case::FaultCase;

/// Callers of a case.
const CALLERS: usize = 12;

/// Result posts of each caller that have a counter.
const POSTS: usize = 300;

/// Rows that one statement inserts.
const ROWS_AT_ONCE: usize = 200;

/// Time after which a caller gives up on a statement; longer than the statement's deadline.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time that the proxies have to become ready and to put a configuration in force.
pub(super) const READY_LIMIT: Duration = Duration::from_secs(15);

/// The request that stands for the rows inserted before the callers start.
const INITIAL_REQUEST: RequestNumber = RequestNumber(0);

/// The running site of a case.
#[derive(Debug)]
pub(super) struct Stage {
    /// Its processes.
    pub topology: Topology,
    /// The group under load.
    pub group: Group,
    /// What the proxies tell.
    pub admin: AdminClient,
    /// The history.
    pub recorder: Arc<Recorder>,
}

/// The callers of a case.
#[derive(Debug)]
pub(super) struct Callers {
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl Stage {
    /// Starts the site, inserts the initial rows and publishes the documents.
    pub async fn set(case: &FaultCase, directory: &Path) -> eyre::Result<Self> {
        clear(directory)?;
        let mut topology = Topology::start(case.site(), directory).await?;
        let group = topology.group(&topology.site.groups[0]);
        let rows = InitialRows::new(CALLERS, POSTS);
        insert_initial_rows(&topology, &group, &rows).await?;
        topology.start_proxies().await?;
        let revision = publish(&topology).await?;
        let admin = AdminClient::new(&topology.plan)?;
        let mut stage = Self {
            topology,
            group,
            admin,
            recorder: Arc::default(),
        };
        stage.ready().await?;
        stage.recorder = Arc::new(Recorder::default());
        stage.record_initial_rows(&rows);
        if let Some(revision) = revision {
            stage.record_accepted(revision);
        }
        Ok(stage)
    }

    /// An operator's change was accepted. Its content is known by the revision alone.
    pub fn record_accepted(&self, revision: Revision) {
        let digest = super::observe::digest(revision);
        self.recorder.push(Event::Accepted { revision, digest });
    }

    /// The newest revision that was accepted so far.
    pub fn newest_accepted(&self) -> Revision {
        let events = self.recorder.events();
        let accepted = events.iter().filter_map(|event| match event {
            Event::Accepted { revision, .. } => Some(*revision),
            _ => None,
        });
        accepted.max().unwrap_or_default()
    }

    /// Starts the callers; half of them belong to each tenant.
    pub fn start_callers(&self, case: &FaultCase, seed: u64) -> Callers {
        let mix = Mix {
            writes: 0.4,
            own_lookups: 0.7,
            roams: 0.1,
            pause: Duration::from_millis(10),
        };
        let stop = CancellationToken::new();
        let start = |number: usize| {
            let tenants = &self.topology.site.tenants;
            let tenant = &tenants[number % tenants.len()].name;
            let settings = self.topology.callers(tenant, PATIENCE);
            let recorder = Arc::clone(&self.recorder);
            let workload = case.user.workload();
            let caller = WorkloadCaller::new(number, workload, mix, settings, recorder, seed);
            tokio::spawn(caller.with_posts(POSTS).run(stop.clone()))
        };
        let tasks = (0..CALLERS).map(start).collect();
        Callers { stop, tasks }
    }

    /// Waits until all proxies take callers.
    pub async fn ready(&self) -> eyre::Result<()> {
        for proxy in 0..self.topology.proxies.len() {
            let name = &self.topology.plan.proxies[proxy].name;
            let ready = || async { self.admin.is_ready(proxy).await.then_some(()) };
            poll_until(name, READY_LIMIT, ready).await?;
        }
        Ok(())
    }

    fn record_initial_rows(&self, rows: &InitialRows) {
        let entry = |key: &String| Entry {
            key: history_key("stock", key),
            value: STOCK_VALUE.to_owned(),
        };
        self.recorder.push(Event::WriteBegan(WriteBegan {
            request: INITIAL_REQUEST,
            session: SessionName(String::from("initial-rows")),
            entries: rows.stock.iter().map(entry).collect(),
            repeat: Repeat::Never,
        }));
        self.recorder.push(Event::WriteEnded(WriteEnded {
            request: INITIAL_REQUEST,
            outcome: WriteOutcome::Acknowledged,
        }));
    }
}

impl Callers {
    /// Stops all callers; requests in flight are awaited.
    pub async fn stop(self) -> eyre::Result<()> {
        self.stop.cancel();
        for task in self.tasks {
            task.await?;
        }
        Ok(())
    }
}

async fn insert_initial_rows(
    topology: &Topology,
    group: &Group,
    rows: &InitialRows,
) -> eyre::Result<()> {
    let primary = group.primary().await?;
    let number = topology.database_number(&primary.name)?;
    let address = topology.plan.databases[number].listen;
    let session = SessionClient::connect(address, "lab", DATABASE, None).await?;
    insert_rows(&session, "stock", &rows.stock, STOCK_VALUE).await?;
    insert_rows(&session, "results", &rows.results, NOT_POSTED).await?;
    group.caught_up().await
}

/// The value of a counter that no result was posted to.
pub(super) const NOT_POSTED: &str = "0";

async fn insert_rows(
    session: &SessionClient,
    table: &str,
    keys: &[String],
    value: &str,
) -> eyre::Result<()> {
    for keys in keys.chunks(ROWS_AT_ONCE) {
        let rows: Vec<String> = keys
            .iter()
            .map(|key| format!("('{key}', '{value}')"))
            .collect();
        let statement = format!(
            "INSERT INTO {table} (key, value) VALUES {}",
            rows.join(", ")
        );
        session.run(&statement).await.done()?;
    }
    Ok(())
}

/// Publishes the documents where the proxies get them from the platform.
async fn publish(topology: &Topology) -> eyre::Result<Option<Revision>> {
    if topology.site.configuration == Configuration::File {
        return Ok(None);
    }
    let operator = Operator::new(topology, "erika")?;
    Ok(Some(operator.publish_site(topology).await?))
}

/// Logs of an earlier run would be mistaken for this one's.
fn clear(directory: &Path) -> eyre::Result<()> {
    match std::fs::remove_dir_all(directory) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error.into()),
        _ => Ok(()),
    }
}
