//! Memory that idle callers cost a proxy.

use std::time::Duration;

use eyre::OptionExt;
use futures::{StreamExt, TryStreamExt, stream};
use tokio::time::sleep;

use crate::testbed::{DATABASE, SessionClient, Topology};

use super::TENANT;
use super::result::{Figure, Goal};

/// Connections that are opened at one time.
const OPENED_AT_ONCE: usize = 64;

/// Time to settle before memory is read.
const SETTLE: Duration = Duration::from_secs(1);

/// Goal for the memory of one proxy, in megabytes.
const MEMORY_GOAL: f64 = 150.0;

const BYTES_PER_MEGABYTE: f64 = 1e6;

/// Opens idle connections to the last proxy; each has done one read.
pub(super) async fn measure(topology: &Topology, connections: usize) -> eyre::Result<Vec<Figure>> {
    let proxy = topology.proxies.last().ok_or_eyre("no proxies")?;
    let plan = topology.plan.proxies.last().ok_or_eyre("no proxies")?;
    let megabytes = || {
        let bytes = proxy.resident_memory();
        let bytes = bytes.ok_or_eyre("the system does not tell the memory of processes")?;
        Ok::<f64, eyre::Report>(bytes as f64 / BYTES_PER_MEGABYTE)
    };
    let before = megabytes()?;
    let open = |_| async {
        let session = SessionClient::connect(plan.listen, TENANT, DATABASE, None).await?;
        let statement = "SELECT value FROM stock WHERE key = 'part-1'";
        session.texts(statement).await.done()?;
        Ok::<_, eyre::Report>(session)
    };
    let opening = stream::iter(0..connections).map(open);
    let sessions: Vec<SessionClient> = opening
        .buffer_unordered(OPENED_AT_ONCE)
        .try_collect()
        .await?;
    sleep(SETTLE).await;
    let after = megabytes()?;
    let held = sessions.len() as f64;
    let each = (after - before) * 1_000.0 / held;
    let name = format!("memory of a proxy with {connections} idle callers");
    let goal = Some(Goal::AtMost(MEMORY_GOAL));
    Ok(vec![
        Figure::ours(
            "memory of a proxy without callers",
            "MB",
            None,
            vec![before],
        ),
        Figure::ours(&name, "MB", goal, vec![after]),
        Figure::ours("memory of one idle caller", "kB", None, vec![each]),
    ])
}
