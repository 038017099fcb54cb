//! Which nodes send to a database while it is cold, and what this node hears of its start.

use dyketally::directory::{Announcement, DirectoryChange};
use dyketally::identifiers::{DatabaseName, GroupName};
use dyketally::route_policy::SlowStart;
use dyketally::slow_start::{Budget, Margin};

use crate::database::loading::Loading;
use crate::event::Event;
use crate::gateway::Gateway;

impl Gateway {
    /// Takes in what a database announces of its start, once the directory knows the database.
    pub fn heard_of_start(&self, announcement: &Announcement) {
        let database = &announcement.database;
        let loading = self.databases.loading(database);
        let was_cold = !loading.announced_cold_for().is_zero();
        loading.announced(announcement.cold_for);
        self.share_out_load(database, &announcement.group, &loading);
        if !was_cold && !loading.announced_cold_for().is_zero() {
            self.cx.events.write(&Event::DatabaseCold {
                database: database.as_str(),
                group: announcement.group.as_str(),
                cold_for_ms: announcement.cold_for.as_millis() as u64,
            });
        }
    }

    /// Takes in that a database no longer announces itself: it may start again without this node's
    /// knowledge.
    pub fn start_is_unknown(&self, database: &DatabaseName) {
        self.databases.loading(database).doubted();
    }

    /// Takes in that databases came or went.
    pub fn loads_changed(&self, changes: &[DirectoryChange]) {
        for change in changes {
            if let DirectoryChange::Forgotten(name) = change {
                self.databases.loads.borrow_mut().remove(name);
            }
        }
    }

    /// Works out anew which databases this node sends to while they are cold: nodes or limits changed.
    pub fn share_out_loads(&self) {
        for (database, loading) in self.databases.loadings() {
            let group = {
                let directory = self.databases.directory.borrow();
                let member = directory.member(&database);
                member.map(|member| member.announcement.group.clone())
            };
            match group {
                Some(group) => self.share_out_load(&database, &group, &loading),
                None => loading.hold(false),
            }
        }
    }

    fn share_out_load(&self, database: &DatabaseName, group: &GroupName, loading: &Loading) {
        let rule = self.slow_start(group);
        loading.set_rule(rule, self.load_margin());
        // Before the nodes are known this one would take itself for the only one.
        let is_known = self.fleet.membership.is_known() && rule.is_some();
        loading.hold(is_known && self.holds_load(database));
    }

    fn slow_start(&self, group: &GroupName) -> Option<SlowStart> {
        let routes = self.cx.routes();
        let limits = routes.groups.get(group)?;
        limits.slow_start
    }

    fn load_margin(&self) -> Margin {
        let bounds = &self.cx.settings.bounds;
        Margin {
            overrun: bounds.cold_overrun,
            slack: f64::from(bounds.cold_slack),
        }
    }

    /// How many nodes send to a database of `group` while it is cold.
    pub fn load_holders(&self, group: &GroupName) -> usize {
        let rule = self.slow_start(group);
        rule.map_or(0, |rule| Budget::of(rule.rate, self.load_margin()).holders)
    }
}
