//! Steps of the operators: publishing documents, and losing a race with grace.

use std::time::{Duration, Instant};

use dyketally::policy::Revision;
use eyre::{OptionExt, ensure};

use crate::testbed::{CONFLICT, Operator, Site, poll_until, tenant_document};

use super::stage::Stage;

/// Time that a published change has to be in force on every proxy.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(10);

/// The operators publish groups, the template and the tenants; all proxies put them in force.
pub async fn publish(stage: &mut Stage) -> eyre::Result<String> {
    let operator = Operator::new(&stage.topology, "erika")?;
    let started = Instant::now();
    let revision = operator.publish_site(&stage.topology).await?;
    let published = started.elapsed();
    in_force_everywhere(stage, revision).await?;
    let Site {
        groups, tenants, ..
    } = &stage.topology.site;
    Ok(format!(
        "{} groups, 1 template and {} tenants published in {:.1} s, revision {} in force on all \
         proxies {} ms later",
        groups.len(),
        tenants.len(),
        published.as_secs_f64(),
        revision.0,
        (started.elapsed() - published).as_millis()
    ))
}

/// Two operators change a tenant from the same revision: one wins, the other is told so, and
/// nothing of the loser's change is in force.
pub async fn conflict(stage: &mut Stage) -> eyre::Result<String> {
    let seen = stage.admin.status(0).await?.revision;
    let mut changed = stage.topology.site.tenants.clone();
    let tenant = changed.last_mut().ok_or_eyre("the site has no tenants")?;
    tenant.weight = 2;
    let first = tenant_document(tenant);
    tenant.weight = 3;
    let second = tenant_document(tenant);
    let erika = Operator::new(&stage.topology, "erika")?;
    let max = Operator::new(&stage.topology, "max")?;
    let set = ["tenant", "set"];
    let won = erika
        .publish(set, &tenant.name, &first, Some(seen.0))
        .await?;
    let lost = max
        .publish(set, &tenant.name, &second, Some(seen.0))
        .await?;
    let revision = won.revision()?;
    ensure!(
        lost.code == Some(CONFLICT),
        "the second operator's command ended with {:?}: {}",
        lost.code,
        lost.errors
    );
    in_force_everywhere(stage, revision).await?;
    Ok(format!(
        "revision {} is the first one's; the second was told: {}",
        revision.0,
        lost.errors.trim().replace('\n', " ")
    ))
}

/// Waits until every proxy has a revision in force.
async fn in_force_everywhere(stage: &Stage, revision: Revision) -> eyre::Result<()> {
    let proxies = stage.topology.plan.proxies.len();
    let what = format!("revision {} on every proxy", revision.0);
    poll_until(&what, IN_FORCE_LIMIT, || async {
        for proxy in 0..proxies {
            let status = stage.admin.status(proxy).await.ok()?;
            if status.revision < revision {
                return None;
            }
        }
        Some(())
    })
    .await?;
    Ok(())
}
