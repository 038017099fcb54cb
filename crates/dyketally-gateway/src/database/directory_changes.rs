//! Acts on changes of the directory: databases that appear, change their role, leave or are forgotten.

use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::DirectoryChange;
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use super::Databases;
use crate::event::Event;

/// Time within which a running database announces itself again, as a multiple of the heartbeat interval: one
/// interval, and a margin for a late heartbeat.
const GRACE_HEARTBEATS: f64 = 1.4;
/// How long a database that is gone is kept in memory, so that one which returns within this time keeps its
/// pool and its health.
const GONE_RETENTION: Duration = Duration::from_secs(30);

impl Databases {
    /// Logs `changes` of the directory and acts on them.
    pub fn directory_changed(&self, changes: Vec<DirectoryChange>) {
        self.forget_pacers(&changes);
        for change in changes {
            self.cx.events.write(&Event::DirectoryChanged {
                change: format!("{change:?}"),
            });
            match change {
                DirectoryChange::Leaving(name) => self.close_idle(&name),
                DirectoryChange::Restarted(name) => self.forget_life(&name),
                DirectoryChange::Forgotten(name) => {
                    self.states.borrow_mut().remove(&name);
                    self.shares.forget(&name);
                }
                DirectoryChange::Appeared(_) | DirectoryChange::RoleChanged(..) => {}
            }
        }
        self.cx.changes.notify();
        self.check_primaries();
    }

    pub(super) fn check_primaries(&self) {
        if let Some(watch) = self.primary_watch() {
            watch.check_primaries();
        }
    }

    /// Forgets what this node knows of a database's former life: its connections, health and warmth.
    fn forget_life(&self, name: &DatabaseName) {
        self.close_idle(name);
        self.states.borrow_mut().remove(name);
        self.shares.forget(name);
        self.record_unannounced(name);
    }

    fn close_idle(&self, name: &DatabaseName) {
        if let Some(database) = self.states.borrow().get(name) {
            database.pool.close_idle(true);
        }
    }

    /// Stops forwarding connections through other nodes. Call it once serving regions are configured: the
    /// forwarding nodes were found while connections could pass through any region.
    pub fn reach_all_directly(&self) {
        for database in self.states.borrow().values() {
            if database.pool.is_forwarded() {
                database.pool.reach_directly();
                database.pool.close_idle(true);
            }
        }
    }

    /// Records that the complete directory was read now.
    pub fn record_listed(&self) {
        self.directory_listed_at.set(Some(Instant::now()));
    }

    /// True once the complete directory has been read.
    pub fn is_listed(&self) -> bool {
        self.directory_listed_at.get().is_some()
    }

    /// True once every running database has had time to announce itself since the complete directory was
    /// read. A database that is missing from then on isn't running.
    pub fn directory_is_settled(&self) -> bool {
        let listed_at = self.directory_listed_at.get();
        listed_at.is_some_and(|at| at.elapsed() >= self.announcement_grace())
    }

    /// How long a running database may be missing from the directory.
    fn announcement_grace(&self) -> Duration {
        let heartbeat = self.cx.settings.bounds.heartbeat();
        heartbeat.mul_f64(GRACE_HEARTBEATS)
    }

    /// Spawns a task that removes unlisted databases which haven't announced themselves within the grace period.
    pub fn remove_unlisted_after_grace(self: &Rc<Self>) {
        let oldest = self.directory.borrow().oldest_unlisted();
        if oldest.is_none() || self.removing_unlisted.replace(true) {
            return;
        }
        let databases = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                let oldest = databases.directory.borrow().oldest_unlisted();
                let Some(oldest) = oldest else {
                    break;
                };
                let grace = databases.announcement_grace();
                let passed = databases.cx.now().saturating_since(oldest);
                tokio::time::sleep(grace.saturating_sub(passed)).await;
                let before = databases.cx.now() - grace;
                let changes = databases.directory.borrow_mut().settle_unlisted(before);
                if !changes.is_empty() {
                    databases.directory_changed(changes);
                }
            }
            databases.removing_unlisted.set(false);
        });
    }

    /// Forgets databases that have been gone for `GONE_RETENTION`, and closes connections idle past their limit.
    pub fn forget_gone_and_close_idle(&self) {
        let long_ago = self.cx.now() - GONE_RETENTION;
        let forgotten = self.directory.borrow_mut().forget_gone_before(long_ago);
        if !forgotten.is_empty() {
            self.retire_forgotten_holders();
            self.directory_changed(forgotten);
        }
        for database in self.states.borrow().values() {
            database.pool.close_idle(false);
        }
    }

    /// Stops counting forgotten databases as holders of acknowledged commits, in groups whose primary acknowledges
    /// commits alone. In the others the failover coordinator decides.
    fn retire_forgotten_holders(&self) {
        let routes = self.cx.routes();
        // Before the first configuration it isn't known which groups wait for replicas.
        if routes.groups.is_empty() {
            return;
        }
        let waits_for_replicas = |group: &GroupName| {
            let limits = routes.groups.get(group);
            limits.is_some_and(|limits| limits.acknowledging_replicas > 0)
        };
        let mut directory = self.directory.borrow_mut();
        directory.retire_forgotten_holders(waits_for_replicas);
    }
}
