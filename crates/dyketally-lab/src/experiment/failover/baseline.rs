//! The baseline: callers that know all databases and try one after the other.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::bench::{CALLERS, Caller, CallerSettings, DATABASE, Recorder, Reply, Topology};

/// Time after which a caller gives up on a database.
const PATIENCE: Duration = Duration::from_millis(500);

/// Pause between two writes.
const PAUSE: Duration = Duration::from_millis(2);

const INSERT: &str = "INSERT INTO baseline (key, value) VALUES ($1, '1')";

/// A caller without a proxy.
#[derive(Debug)]
pub(super) struct BaselineCaller {
    number: usize,
    caller: Caller,
    recorder: Arc<Recorder>,
}

impl BaselineCaller {
    /// The caller with this number; it begins at another database than its neighbours.
    pub(super) fn new(number: usize, topology: &Topology, recorder: Arc<Recorder>) -> Self {
        let databases = topology.plan.databases.iter();
        let reach =
            |database: &crate::bench::DatabasePlan| topology.routes.via(CALLERS, database.listen);
        let settings = CallerSettings {
            proxies: databases.map(reach).collect(),
            tenant: String::from("lab"),
            database: DATABASE.to_owned(),
            patience: PATIENCE,
        };
        Self {
            number,
            caller: Caller::new(settings, number),
            recorder,
        }
    }

    /// Writes until it is stopped.
    pub(super) async fn run(mut self, stop: CancellationToken) {
        let mut writes = 0_u64;
        while !stop.is_cancelled() {
            writes += 1;
            let key = format!("baseline-{}-{writes}", self.number);
            let open = self.recorder.write_begins("baseline", Vec::new());
            let reply = self.caller.execute(INSERT, &[&key]).await;
            self.recorder.write_ends(open, &reply);
            // The caller has left a database that it can't reach or that doesn't answer.
            if matches!(reply, Reply::Refused { .. } | Reply::NotRun { .. }) {
                self.caller.move_on();
            }
            sleep(PAUSE).await;
        }
    }
}
