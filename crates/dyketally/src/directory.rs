//! The databases of each group as they announce themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::group::Role;
use crate::identifiers::{DatabaseName, GroupName, ZoneName};
use crate::time::Timestamp;

/// Whether a database takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// It does.
    Ready,
    /// It serves on for a while and then ends.
    Draining,
    /// It no longer announces itself; it may still serve for a while.
    Gone,
}

/// What a database announces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The database.
    pub database: DatabaseName,
    /// The group it belongs to.
    pub group: GroupName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: ZoneName,
    /// Statements it runs at one time.
    pub slots: u32,
    /// True when it takes new work.
    pub ready: bool,
    /// The role it believes it has.
    pub role: Role,
    /// How much longer it bears less than its full load after its start.
    pub cold_for: Duration,
}

/// A database with what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What it announced last.
    pub announcement: Announcement,
    /// Whether it takes new work.
    pub state: MemberState,
    /// Since when it hasn't announced itself, while that may be the store's fault.
    pub unlisted_since: Option<Timestamp>,
    /// Since when it hasn't been [`MemberState::Ready`].
    pub leaving_since: Option<Timestamp>,
    /// Greater than that of every member that became primary before; zero for a replica.
    pub primary_order: u64,
    /// Set when the member refused to act as primary after it had announced that role.
    pub refuted: bool,
}

impl Member {
    /// The database's name.
    pub fn name(&self) -> &DatabaseName {
        &self.announcement.database
    }
}

/// A change of the directory that someone may have to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A database announced itself for the first time.
    Appeared(DatabaseName),
    /// A database is leaving.
    Leaving(DatabaseName),
    /// A database took another role.
    RoleChanged(DatabaseName, Role),
    /// A database is forgotten.
    Forgotten(DatabaseName),
}

/// All databases that announced themselves.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: BTreeMap<DatabaseName, Member>,
    next_order: u64,
}

impl Directory {
    /// Records an announcement.
    pub fn announced(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
    ) -> Option<DirectoryChange> {
        let name = announcement.database.clone();
        let Some(known) = self.members.get(&name).cloned() else {
            let member = self.new_member(now, announcement);
            self.members.insert(name.clone(), member);
            return Some(DirectoryChange::Appeared(name));
        };
        let role_changed = known.announcement.role != announcement.role;
        let mut member = self.new_member(now, announcement);
        if !role_changed {
            member.primary_order = known.primary_order;
            member.refuted = known.refuted;
        }
        if member.state != MemberState::Ready {
            member.leaving_since = known.leaving_since.or(member.leaving_since);
        }
        let left = known.state == MemberState::Ready && member.state != MemberState::Ready;
        let role = member.announcement.role;
        self.members.insert(name.clone(), member);
        if left {
            return Some(DirectoryChange::Leaving(name));
        }
        role_changed.then_some(DirectoryChange::RoleChanged(name, role))
    }

    /// Records that a database no longer announces itself. It may have left, or the store may
    /// have lost the announcement: [`Directory::settle_unlisted`] decides.
    pub fn vanished(&mut self, now: Timestamp, name: &DatabaseName) {
        if let Some(member) = self.members.get_mut(name) {
            member.unlisted_since.get_or_insert(now);
        }
    }

    /// Takes databases that haven't announced themselves since before `time` for gone. A database
    /// that runs announces itself again within its heartbeat.
    pub fn settle_unlisted(&mut self, time: Timestamp) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        for member in self.members.values_mut() {
            let Some(since) = member.unlisted_since.filter(|since| *since <= time) else {
                continue;
            };
            if member.state == MemberState::Ready {
                changes.push(DirectoryChange::Leaving(member.name().clone()));
            }
            member.state = MemberState::Gone;
            member.leaving_since.get_or_insert(since);
        }
        changes
    }

    /// The earliest time since which a database that isn't yet taken for gone is unlisted.
    pub fn oldest_unlisted(&self) -> Option<Timestamp> {
        let members = self.members.values();
        let pending = members.filter(|member| member.state != MemberState::Gone);
        pending.filter_map(|member| member.unlisted_since).min()
    }

    /// Applies the full list of announcements: those it lacks have vanished.
    pub fn replaced(
        &mut self,
        now: Timestamp,
        announcements: Vec<Announcement>,
    ) -> Vec<DirectoryChange> {
        let listed = |name: &DatabaseName| {
            let mut all = announcements.iter();
            all.any(|announcement| &announcement.database == name)
        };
        let unlisted = self.members.keys().filter(|name| !listed(name));
        let unlisted: Vec<DatabaseName> = unlisted.cloned().collect();
        for name in unlisted {
            self.vanished(now, &name);
        }
        let mut changes = Vec::new();
        for announcement in announcements {
            changes.extend(self.announced(now, announcement));
        }
        changes
    }

    /// Forgets databases that have been gone since before `time`.
    pub fn forget_gone_before(&mut self, time: Timestamp) -> Vec<DirectoryChange> {
        let forgotten = self.members.values().filter(|member| {
            member.state == MemberState::Gone && member.leaving_since.is_some_and(|at| at < time)
        });
        let forgotten: Vec<DatabaseName> = forgotten.map(|member| member.name().clone()).collect();
        for name in &forgotten {
            self.members.remove(name);
        }
        forgotten
            .into_iter()
            .map(DirectoryChange::Forgotten)
            .collect()
    }

    /// Records that a database acted as primary: others that claim the role are out of date.
    pub fn acted_as_primary(&mut self, name: &DatabaseName) {
        let newest = self.next_order;
        if let Some(member) = self.members.get_mut(name) {
            member.refuted = false;
            if member.primary_order < newest {
                self.next_order += 1;
                member.primary_order = self.next_order;
            }
        }
    }

    /// Records that a database refused to act as primary.
    pub fn refused_as_primary(&mut self, name: &DatabaseName) {
        if let Some(member) = self.members.get_mut(name) {
            member.refuted = true;
        }
    }

    /// The database that leads `group`, as far as is known.
    pub fn primary(&self, group: &GroupName) -> Option<&Member> {
        let members = self.members.values();
        let members = members.filter(|member| &member.announcement.group == group);
        let claiming = members.filter(|member| member.primary_order > 0);
        claiming
            .filter(|member| !member.refuted)
            .max_by_key(|member| member.primary_order)
    }

    /// The databases of `group`.
    pub fn members<'a>(&'a self, group: &'a GroupName) -> impl Iterator<Item = &'a Member> {
        let all = self.members.values();
        all.filter(move |member| &member.announcement.group == group)
    }

    /// One database.
    pub fn member(&self, name: &DatabaseName) -> Option<&Member> {
        self.members.get(name)
    }

    /// All groups that have a database.
    pub fn groups(&self) -> Vec<GroupName> {
        let groups = self
            .members
            .values()
            .map(|member| member.announcement.group.clone());
        let mut groups: Vec<GroupName> = groups.collect();
        groups.sort();
        groups.dedup();
        groups
    }

    fn new_member(&mut self, now: Timestamp, announcement: Announcement) -> Member {
        let mut primary_order = 0;
        if announcement.role == Role::Primary {
            self.next_order += 1;
            primary_order = self.next_order;
        }
        let (state, leaving_since) = match announcement.ready {
            true => (MemberState::Ready, None),
            false => (MemberState::Draining, Some(now)),
        };
        Member {
            announcement,
            state,
            unlisted_since: None,
            leaving_since,
            primary_order,
            refuted: false,
        }
    }
}
