//! Counts statements that no database may serve, and logs them at most once per interval for each group.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use dyketally::eligibility::Denial;
use dyketally::identifiers::GroupName;
use tokio::time::Instant;

use crate::event::Event;
use crate::statement::Statements;
use crate::statement::request::Request;

/// Minimum interval between log lines about a group that no database may serve. Each refused statement also
/// has its own line, `statement_decided`.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Time of the last log line about each group that no database may serve.
#[derive(Debug, Default)]
pub(super) struct UnservedLog {
    reported: RefCell<HashMap<GroupName, Instant>>,
}

impl UnservedLog {
    /// True when a log line about `group` is due; the line then counts as written.
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
    /// Counts a statement that no database of its group may serve, and logs it if a line is due.
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
