//! A relay's watch of the stored configuration.

use dyketally::configuration::sync::{WatchFailure, WatchId, WatchReport};
use dyketally::policy::Revision;
use futures::StreamExt;
use tokio::sync::mpsc;

use super::configuration_store::{ConfigurationError, ConfigurationStore};

/// A report with the watch that it is of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NumberedReport {
    /// The watch.
    pub watch: WatchId,
    /// What it reports.
    pub report: WatchReport,
}

/// Nobody takes reports any more: the watch was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Closed;

/// Reports what follows `have`, then each change as it is accepted, and last how the watch was
/// lost. Ends early when the reports are no longer taken.
pub async fn run(
    store: ConfigurationStore,
    watch: WatchId,
    have: Revision,
    reports: mpsc::Sender<NumberedReport>,
) {
    let reporter = Reporter { watch, reports };
    let retry_after = match follow(&store, have, &reporter).await {
        Ok(Closed) => return,
        Err(error) => {
            log::debug!("the watch of the configuration is lost: {error}");
            error.retry_after()
        }
    };
    let failure = WatchReport::Failed(WatchFailure { retry_after });
    let _closed = reporter.send(failure).await;
}

async fn follow(
    store: &ConfigurationStore,
    have: Revision,
    reporter: &Reporter,
) -> Result<Closed, ConfigurationError> {
    let missed = store.missed(have).await?;
    let mut store_revision = missed.store_revision;
    let mut current = missed.current;
    let newest = missed.changes.last().map_or(have, |last| last.revision);
    let report = match newest < current {
        false => WatchReport::Changes(missed.changes),
        true => {
            let stored = store.current().await?;
            store_revision = stored.store_revision;
            current = stored.snapshot.revision;
            WatchReport::Snapshot(stored.snapshot)
        }
    };
    let mut changes = store.follow(store_revision).await?;
    let established = WatchReport::Established { revision: current };
    for report in [report, established] {
        if reporter.send(report).await.is_err() {
            return Ok(Closed);
        }
    }
    while let Some(accepted) = changes.next().await {
        if reporter
            .send(WatchReport::Changes(accepted?))
            .await
            .is_err()
        {
            return Ok(Closed);
        }
    }
    Err(ConfigurationError::Store(super::StoreError::Unavailable {
        reason: "the watch ended".into(),
    }))
}

struct Reporter {
    watch: WatchId,
    reports: mpsc::Sender<NumberedReport>,
}

impl Reporter {
    async fn send(&self, report: WatchReport) -> Result<(), Closed> {
        let watch = self.watch;
        let sent = self.reports.send(NumberedReport { watch, report }).await;
        sent.map_err(|_| Closed)
    }
}
