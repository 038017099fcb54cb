//! Watches proxies and databases during a case and adds to the history what they tell.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use dyketally::history::{Digest, Event, Statement, TransactionEnd, TransactionName};
use dyketally::identifiers::{DatabaseName, NodeName};
use dyketally::policy::Revision;
use dyketally::time::Timestamp;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::testbed::{AdminClient, Member, Recorder};

/// Time between two looks at a proxy or a database.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Tasks that watch; they end when this is dropped.
#[derive(Debug, Default)]
pub(super) struct Observers {
    tasks: Vec<JoinHandle<()>>,
}

/// How often each proxy was started again, so that a new process is not taken for the old one.
#[derive(Clone, Debug)]
pub(super) struct Restarts(Arc<Vec<AtomicU64>>);

impl Restarts {
    /// No restarts of this many proxies.
    pub fn new(proxies: usize) -> Self {
        Self(Arc::new((0..proxies).map(|_| AtomicU64::new(0)).collect()))
    }

    /// The proxy with this number is about to be started again.
    pub fn add(&self, proxy: usize) {
        self.0[proxy].fetch_add(1, Ordering::SeqCst);
    }

    /// The name of the present process of a proxy.
    pub fn node(&self, proxy: usize) -> NodeName {
        let restarts = self.0[proxy].load(Ordering::SeqCst);
        NodeName::new(format!("proxy-{}/{restarts}", proxy + 1))
    }
}

impl Observers {
    /// Records each change of the configuration that a proxy has in force.
    pub fn watch_configurations(
        &mut self,
        admin: &AdminClient,
        restarts: &Restarts,
        recorder: &Arc<Recorder>,
        proxies: usize,
    ) {
        for proxy in 0..proxies {
            let admin = admin.clone();
            let restarts = restarts.clone();
            let recorder = Arc::clone(recorder);
            let watch = watch_configuration(proxy, admin, restarts, recorder);
            self.tasks.push(tokio::spawn(watch));
        }
    }

    /// Records the new work that a leaving database gets from now on.
    pub fn watch_leaving(&mut self, member: Member, recorder: &Arc<Recorder>) {
        let recorder = Arc::clone(recorder);
        let database = DatabaseName::new(member.name.as_str());
        let at = now(&recorder);
        recorder.push(Event::Leaving { database, at });
        self.tasks.push(tokio::spawn(watch_work(member, recorder)));
    }
}

impl Drop for Observers {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// The digest of a configuration's content: proxies tell the revision alone.
pub(super) fn digest(revision: Revision) -> Digest {
    Digest(revision.0)
}

async fn watch_configuration(
    proxy: usize,
    admin: AdminClient,
    restarts: Restarts,
    recorder: Arc<Recorder>,
) {
    let mut last = None;
    loop {
        sleep(LOOK_PAUSE).await;
        let node = restarts.node(proxy);
        let Ok(status) = admin.status(proxy).await else {
            continue;
        };
        let revision = status.revision;
        let seen = Some((node.clone(), revision));
        // Another process may have answered when the proxy was started again meanwhile.
        if seen == last || restarts.node(proxy) != node {
            continue;
        }
        last = seen;
        let digest = digest(revision);
        recorder.push(Event::InForce {
            node,
            revision,
            digest,
        });
    }
}

async fn watch_work(member: Member, recorder: Arc<Recorder>) {
    let mut last_look = now(&recorder);
    let mut last_count = None;
    loop {
        let look = now(&recorder);
        if let Ok(state) = member.control.state().await {
            let count = state.started_statements;
            if last_count.is_some_and(|last| count > last) {
                // The work began at some time since the last look.
                recorder.push(work(&member.name, count, last_look));
            }
            last_count = Some(count);
            last_look = look;
        }
        sleep(LOOK_PAUSE).await;
    }
}

fn work(database: &str, count: u64, at: Timestamp) -> Event {
    Event::Statement(Statement {
        database: DatabaseName::new(database),
        connection: 0,
        transaction: TransactionName(format!("{database}/started-{count}")),
        write: None,
        end: Some(TransactionEnd::Committed),
        at,
    })
}

fn now(recorder: &Recorder) -> Timestamp {
    Timestamp::ZERO + recorder.now()
}
