//! Operators that publish changes during a case.

use dyketally::policy::Revision;
use eyre::{OptionExt, ensure};
use tokio::task::JoinHandle;

use crate::testbed::{CONFLICT, CommandResult, Operator, tenant_document};

use super::stage::Stage;

/// The weight of the tenant that every publication changes; the author adds to it, so that no two
/// documents are the same.
const WEIGHT: u32 = 10;

/// One operator's change: the tenant's document from the revision that the operator saw.
struct Change {
    operator: Operator,
    tenant: String,
    path: String,
    seen: Revision,
    author: &'static str,
}

impl Change {
    async fn new(stage: &Stage, author: &'static str, weight: u32) -> eyre::Result<Self> {
        let seen = newest_revision(stage).await?;
        let tenants = &stage.topology.site.tenants;
        let mut tenant = tenants
            .last()
            .cloned()
            .ok_or_eyre("the site has no tenants")?;
        tenant.weight = weight + u32::try_from(seen.0)?;
        let name = format!("tenant-{}-{author}.toml", tenant.name);
        let path = stage.topology.launcher.logs().join(name);
        std::fs::write(&path, tenant_document(&tenant))?;
        Ok(Self {
            operator: Operator::new(&stage.topology, author)?,
            tenant: tenant.name,
            path: path.to_string_lossy().into_owned(),
            seen,
            author,
        })
    }

    async fn publish(self) -> eyre::Result<CommandResult> {
        log::debug!("{} publishes tenant {}", self.author, self.tenant);
        let seen = self.seen.0.to_string();
        let arguments = [
            "tenant",
            "set",
            &self.path,
            "--author",
            self.author,
            "--expect-revision",
            &seen,
        ];
        self.operator.run(&arguments).await
    }
}

/// Publishes a change; it must make the very next revision.
pub(super) async fn publish(stage: &Stage) -> eyre::Result<Revision> {
    let change = Change::new(stage, "erika", WEIGHT).await?;
    let expected = Revision(change.seen.0 + 1);
    let revision = change.publish().await?.revision()?;
    ensure!(
        revision == expected,
        "the change made revision {} instead of {}; see the history of the tenant",
        revision.0,
        expected.0
    );
    stage.record_accepted(revision);
    Ok(revision)
}

/// Starts a publication that is awaited later on.
pub(super) async fn begin(stage: &Stage) -> eyre::Result<JoinHandle<eyre::Result<CommandResult>>> {
    let change = Change::new(stage, "erika", WEIGHT).await?;
    Ok(tokio::spawn(change.publish()))
}

/// Takes the end of a publication: accepted, or told that it was not.
pub(super) fn end(stage: &Stage, result: CommandResult) -> eyre::Result<String> {
    let code = result.code;
    match code {
        Some(0) => {
            let revision = result.revision()?;
            stage.record_accepted(revision);
            Ok(format!("revision {} published", revision.0))
        }
        Some(NO_ANSWER) => Ok(String::from(
            "the operator was told that nothing was changed",
        )),
        _ => {
            result.succeeded()?;
            Ok(String::new())
        }
    }
}

/// Exit code of the command when the service did not answer and nothing was changed.
const NO_ANSWER: i32 = 4;

/// Two operators change the same tenant from the same revision: one must win, the other must be
/// told of the conflict.
pub(super) async fn publish_together(stage: &Stage) -> eyre::Result<Revision> {
    let one = Change::new(stage, "erika", WEIGHT).await?;
    let other = Change::new(stage, "max", 2 * WEIGHT).await?;
    ensure!(
        one.seen == other.seen,
        "the proxies' revisions differ; wait before this action"
    );
    let (one, other) = tokio::join!(one.publish(), other.publish());
    let (one, other) = (one?, other?);
    let (winner, loser) = match one.code {
        Some(0) => (one, other),
        _ => (other, one),
    };
    let revision = winner.revision()?;
    stage.record_accepted(revision);
    ensure!(
        loser.code == Some(CONFLICT),
        "the second operator's command ended with {:?}: {}{}",
        loser.code,
        loser.output,
        loser.errors
    );
    Ok(revision)
}

/// The newest revision that was accepted, or that a proxy has in force.
async fn newest_revision(stage: &Stage) -> eyre::Result<Revision> {
    let mut newest = stage.newest_accepted();
    for proxy in 0..stage.topology.proxies.len() {
        if let Ok(status) = stage.admin.status(proxy).await {
            newest = newest.max(status.revision);
        }
    }
    Ok(newest)
}
