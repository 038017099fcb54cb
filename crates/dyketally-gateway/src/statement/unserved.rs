//! Logs that no database of a group may serve a statement.

use std::time::Duration;

use dyketally::eligibility::{Denial, ServingRegions};
use dyketally::route_policy::RoutePolicy;
use tokio::time::Instant;

use crate::event::Event;
use crate::gateway::Gateway;

/// Pause between two log lines on a group that no database may serve: each statement that is refused
/// has a line of its own.
const TELL_INTERVAL: Duration = Duration::from_secs(5);

impl Gateway {
    /// Logs that no database of a route's group may serve a statement, now and then.
    pub fn report_served_nowhere(
        &self,
        route: &RoutePolicy,
        regions: &ServingRegions,
        denial: Denial,
    ) {
        self.cx.counters.denied.add(denial.kind(), 1);
        let mut logged = self.unserved_logged.borrow_mut();
        let told = logged.get(&route.group);
        if told.is_some_and(|told| told.elapsed() < TELL_INTERVAL) {
            return;
        }
        logged.insert(route.group.clone(), Instant::now());
        self.cx.events.write(&Event::ServedNowhere {
            group: route.group.as_str(),
            route: &route.name,
            regions: regions.to_string(),
            reason: denial.to_string(),
        });
    }
}
