//! Waiting for a primary that can be used.

use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::{Denial, ServingRegions};
use dyketally::identifiers::GroupName;
use tokio::time::Instant;

use crate::database::target::Target;
use crate::gateway::Gateway;

/// How often a group without a known primary is searched for one.
const SEARCH_INTERVAL: Duration = Duration::from_millis(120);

impl Gateway {
    /// The database that leads `group`, as soon as one is known that may get work which `regions`
    /// bind, by `until` at the latest.
    ///
    /// # Errors
    /// Why there is none; at once if waiting won't help.
    pub(super) async fn primary_by(
        self: &Rc<Self>,
        group: &GroupName,
        regions: &ServingRegions,
        until: Instant,
    ) -> Result<Target, Denial> {
        loop {
            let denial = match self.databases.primary_target(group, regions) {
                Ok(target) => return Ok(target),
                Err(denial) => denial,
            };
            if denial.is_lasting() || Instant::now() >= until {
                return Err(denial);
            }
            self.search_primary(group);
            let pause = (Instant::now() + SEARCH_INTERVAL).min(until);
            self.cx.changes.next(pause).await;
        }
    }
}
