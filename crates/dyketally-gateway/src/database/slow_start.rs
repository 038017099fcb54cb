//! Slow start: records when databases announce that they are cold, and decides whether this node may send
//! to them meanwhile; see [`dyketally::slow_start`].

use std::collections::HashSet;
use std::rc::Rc;

use dyketally::directory::{Announcement, DirectoryChange};
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::route_policy::SlowStart;
use dyketally::slow_start::{Budget, Margin};

use super::Databases;
use super::pacer::Pacer;
use crate::context::Context;
use crate::event::Event;

impl Databases {
    /// The pacer of a database, created if it is missing.
    pub fn pacer(&self, database: &DatabaseName) -> Rc<Pacer> {
        let mut known = self.pacers.borrow_mut();
        let new = || Pacer::new(self.cx.contact.clone(), self.cx.clock.started());
        known.entry(database.clone()).or_insert_with(new).clone()
    }

    /// The pacers of all databases that have one.
    pub fn pacers(&self) -> Vec<(DatabaseName, Rc<Pacer>)> {
        let known = self.pacers.borrow();
        let known = known.iter();
        known
            .map(|(name, pacer)| (name.clone(), pacer.clone()))
            .collect()
    }

    /// Records for how long a database announces itself as cold. Call it after the directory was updated.
    pub fn record_start_announcement(&self, announcement: &Announcement) {
        let database = &announcement.database;
        let pacer = self.pacer(database);
        let was_cold = !pacer.announced_cold_for().is_zero();
        pacer.record_announcement(announcement.cold_for);
        self.share_cold_rate(database, &announcement.group, &pacer);
        if !was_cold && !pacer.announced_cold_for().is_zero() {
            self.cx.events.write(&Event::DatabaseCold {
                database: database.as_str(),
                group: announcement.group.as_str(),
                cold_for_ms: announcement.cold_for.as_millis() as u64,
            });
        }
    }

    /// Records that a database no longer announces itself, so that it may restart without this node's
    /// knowledge.
    pub fn record_unannounced(&self, database: &DatabaseName) {
        self.pacer(database).record_possible_restart();
    }

    /// Records that databases missing from `listed` no longer announce themselves.
    pub fn record_unannounced_except(&self, listed: &[Announcement]) {
        let listed = listed.iter().map(|announcement| &announcement.database);
        let listed: HashSet<&DatabaseName> = listed.collect();
        for (name, pacer) in self.pacers() {
            if !listed.contains(&name) {
                pacer.record_possible_restart();
            }
        }
    }

    pub(super) fn forget_pacers(&self, changes: &[DirectoryChange]) {
        for change in changes {
            if let DirectoryChange::Forgotten(name) = change {
                self.pacers.borrow_mut().remove(name);
            }
        }
    }

    /// True when the databases of some group are limited to a slow-start rate while they are cold.
    pub(super) fn any_slow_start(&self) -> bool {
        let routes = self.cx.routes();
        let mut groups = routes.groups.values();
        groups.any(|limits| limits.slow_start.is_some())
    }

    /// Recomputes which databases this node may send to while they are cold.
    pub(super) fn share_cold_rates(&self) {
        for (database, pacer) in self.pacers() {
            let group = {
                let directory = self.directory.borrow();
                let member = directory.member(&database);
                member.map(|member| member.announcement.group.clone())
            };
            match group {
                Some(group) => self.share_cold_rate(&database, &group, &pacer),
                None => pacer.set_holder(false),
            }
        }
    }

    fn share_cold_rate(&self, database: &DatabaseName, group: &GroupName, pacer: &Pacer) {
        let rule = slow_start_rule(&self.cx, group);
        pacer.set_rule(rule, margin(&self.cx));
        pacer.set_holder(rule.is_some() && self.shares.may_send_cold(database));
    }
}

/// Number of nodes that may send to a database of `group` while it is cold.
pub fn cold_senders(cx: &Context, group: &GroupName) -> usize {
    let rule = slow_start_rule(cx, group);
    rule.map_or(0, |rule| Budget::for_rate(rule.rate, margin(cx)).holders)
}

fn slow_start_rule(cx: &Context, group: &GroupName) -> Option<SlowStart> {
    let routes = cx.routes();
    let limits = routes.groups.get(group)?;
    limits.slow_start
}

fn margin(cx: &Context) -> Margin {
    let bounds = &cx.settings.bounds;
    Margin {
        overrun: bounds.cold_overrun,
        slack: f64::from(bounds.cold_slack),
    }
}
