//! Statements that no database may serve: counted, and logged once for each group in a while.

use std::time::Duration;

use dyketally::eligibility::Denial;
use tokio::time::Instant;

use crate::event::Event;
use crate::gateway::Gateway;
use crate::statement::request::Request;

/// Pause between two log lines on a group that no database may serve: each statement that is refused
/// has a line of its own.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

impl Gateway {
    /// Counts that no database of its route's group may serve a statement, and logs it now and then.
    pub(super) fn report_unserved(&self, request: &Request, denial: Denial) {
        let Request { route, regions, .. } = request;
        self.cx.counters.denied.add(denial.kind(), 1);
        let mut logged = self.unserved_logged.borrow_mut();
        let told = logged.get(&route.group);
        if told.is_some_and(|told| told.elapsed() < LOG_INTERVAL) {
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
