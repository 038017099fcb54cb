//! Keeps the directory: what follows when databases appear, change, leave and are gone.

use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::DirectoryChange;
use dyketally::identifiers::DatabaseName;
use tokio::time::Instant;

use super::Databases;
use crate::event::Event;

/// Heartbeats within which a database that runs announces itself again: one, and room for a late one.
/// Not measured.
const HEARTBEATS_GRACE: f64 = 1.4;
/// How long a database that is gone is remembered, so that one which comes back soon keeps its pool and
/// its health. Not measured.
const GONE_REMEMBERED: Duration = Duration::from_secs(30);

impl Databases {
    /// Acts on changes of the directory.
    pub fn directory_changed(&self, changes: Vec<DirectoryChange>) {
        self.forget_pacers(&changes);
        for change in changes {
            self.cx.events.write(&Event::DirectoryChanged {
                change: format!("{change:?}"),
            });
            match change {
                DirectoryChange::Leaving(name) => self.close_idle(&name),
                DirectoryChange::Forgotten(name) => {
                    self.states.borrow_mut().remove(&name);
                }
                DirectoryChange::Appeared(_) | DirectoryChange::RoleChanged(..) => {}
            }
        }
        self.cx.changes.notify();
        self.look_at_primaries();
    }

    pub(super) fn look_at_primaries(&self) {
        if let Some(watch) = self.watch() {
            watch.look_at_primaries();
        }
    }

    fn close_idle(&self, name: &DatabaseName) {
        if let Some(database) = self.states.borrow().get(name) {
            database.pool.close_idle(true);
        }
    }

    /// Reaches all databases directly again: nodes that forward connections were found while no region
    /// was ruled out.
    pub fn reach_all_directly(&self) {
        for database in self.states.borrow().values() {
            if database.pool.is_forwarded() {
                database.pool.reach_directly();
                database.pool.close_idle(true);
            }
        }
    }

    /// Records that the directory was read as a whole.
    pub fn listed_now(&self) {
        self.listed.set(Some(Instant::now()));
    }

    /// True once the directory was read as a whole.
    pub fn is_listed(&self) -> bool {
        self.listed.get().is_some()
    }

    /// True once every database that runs has had time to announce itself since the directory was
    /// read: what is missing from it then is really missing.
    pub fn directory_is_settled(&self) -> bool {
        let listed = self.listed.get();
        listed.is_some_and(|at| at.elapsed() >= self.announcement_grace())
    }

    /// How long a database that runs may be missing from the directory.
    fn announcement_grace(&self) -> Duration {
        let heartbeat = self.cx.settings.bounds.heartbeat();
        heartbeat.mul_f64(HEARTBEATS_GRACE)
    }

    /// Removes databases that stay unlisted, once they have had time to announce themselves.
    pub fn settle_unlisted_later(self: &Rc<Self>) {
        let oldest = self.directory.borrow().oldest_unlisted();
        if oldest.is_none() || self.settling.replace(true) {
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
            databases.settling.set(false);
        });
    }

    /// Forgets databases that are long gone, and closes connections that have been idle for long.
    pub fn tidy(&self) {
        let long_ago = self.cx.now() - GONE_REMEMBERED;
        let forgotten = self.directory.borrow_mut().forget_gone_before(long_ago);
        if !forgotten.is_empty() {
            self.directory_changed(forgotten);
        }
        for database in self.states.borrow().values() {
            database.pool.close_idle(false);
        }
    }
}
