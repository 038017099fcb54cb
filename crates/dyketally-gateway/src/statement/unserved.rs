//! Statements that no database may serve: counted, and logged once for each group in a while.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use dyketally::eligibility::Denial;
use dyketally::identifiers::GroupName;
use tokio::time::Instant;

use crate::event::Event;
use crate::statement::Statements;
use crate::statement::request::Request;

/// Pause between two log lines on a group that no database may serve: each statement that is refused
/// has a line of its own.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// When the log reported last, for each group, that no database may serve some statement.
#[derive(Debug, Default)]
pub(super) struct UnservedLog {
    reported: RefCell<HashMap<GroupName, Instant>>,
}

impl UnservedLog {
    /// True when a report on `group` is due; it counts as made then.
    fn is_due(&self, group: &GroupName) -> bool {
        let mut reported = self.reported.borrow_mut();
        let last = reported.get(group);
        if last.is_some_and(|last| last.elapsed() < LOG_INTERVAL) {
            return false;
        }
        reported.insert(group.clone(), Instant::now());
        true
    }
}

impl Statements {
    /// Counts that no database of its route's group may serve a statement, and logs it now and then.
    pub(super) fn report_unserved(&self, request: &Request, denial: Denial) {
        let Request { route, regions, .. } = request;
        self.cx.counters.denied.add(denial.kind(), 1);
        if !self.unserved.is_due(&route.group) {
            return;
        }
        self.cx.events.write(&Event::ServedNowhere {
            group: route.group.as_str(),
            route: &route.name,
            regions: regions.to_string(),
            reason: denial.to_string(),
        });
    }
}
