//! Directory of the databases of each group, built from the announcements of the databases.

mod announcement;
mod group_index;
mod log_holders;

use crate::group::Role;
use crate::identifiers::{DatabaseName, GroupName};
use crate::time::Timestamp;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

pub use announcement::{Announcement, Incarnation, InvalidAnnouncement};
pub use group_index::GroupIndex;
pub use log_holders::{DatabaseLife, LogHolders};

/// Whether a database accepts new statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The database accepts new statements.
    Ready,
    /// The database announced that it isn't ready: it still serves for a while and then stops.
    Draining,
    /// The database no longer announces itself; it may still serve for a while.
    Gone,
}

/// A database in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its last announcement.
    pub announcement: Announcement,
    /// Whether it accepts new statements.
    pub state: MemberState,
    /// When its announcement was first missing, by its own doing or by a fault of the store; `None` while
    /// it is announced.
    pub unlisted_since: Option<Timestamp>,
    /// When it ceased to be [`MemberState::Ready`]; `None` while it is ready.
    pub leaving_since: Option<Timestamp>,
    /// Order in which this node heard that members lead: greater than for every member it heard of earlier, zero for a
    /// replica. What a member announces of itself counts as well.
    pub primary_order: u64,
    /// Order in which members were confirmed to lead, by the failover coordinator or by their term; zero for a member
    /// that only announced the role. It outweighs [`Member::primary_order`]: a former primary announces the role until
    /// it learns of its successor, so announcements don't tell which of two members led last.
    pub confirmed_order: u64,
    /// True when the member refused to act as primary although it had announced that role.
    pub refuted: bool,
    /// When it was first listed.
    pub listed_since: Timestamp,
    /// When it was last known to be promoted: its role changed from replica to primary, or the failover coordinator
    /// reported that it leads. `None` for a member that has been primary since it was listed.
    pub promoted_at: Option<Timestamp>,
    /// When the failover coordinator last reported that it leads.
    pub reported_at: Option<Timestamp>,
}

impl Member {
    /// The database's name.
    pub fn name(&self) -> &DatabaseName {
        &self.announcement.database
    }

    /// The life of the database that announced itself last.
    fn life(&self) -> DatabaseLife {
        DatabaseLife {
            database: self.announcement.database.clone(),
            incarnation: self.announcement.incarnation,
        }
    }
}

/// A change of the directory that the node may have to act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DirectoryChange {
    /// A database announced itself for the first time.
    Appeared(DatabaseName),
    /// A database is leaving.
    Leaving(DatabaseName),
    /// A database has started again under its name.
    Restarted(DatabaseName),
    /// A database announced another role.
    RoleChanged(DatabaseName, Role),
    /// A database was removed from the directory.
    Forgotten(DatabaseName),
}

/// All databases that have announced themselves.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    members: BTreeMap<DatabaseName, Member>,
    groups: GroupIndex<GroupName, DatabaseName>,
    /// Databases whose announcement is missing and that aren't marked as gone yet.
    unlisted: BTreeSet<DatabaseName>,
    /// Databases that may hold acknowledged commits, also if they are gone or forgotten.
    holders: LogHolders,
    /// Groups of which a database was confirmed to lead, also if that database has been forgotten.
    confirmed: BTreeSet<GroupName>,
    next_order: u64,
}

/// The databases of a group that are known or announced as primary, including former ones.
#[derive(Debug, Default)]
struct Claims<'a> {
    /// How many there are.
    count: usize,
    /// Of those that have not refused the role, the one confirmed last, or else the one heard of last.
    best: Option<&'a Member>,
    /// The newest [`Member::primary_order`] of those that have not refused the role.
    newest_order: u64,
}

impl Directory {
    /// Records an announcement; gives the change it makes, if any.
    pub fn announced(
        &mut self,
        now: Timestamp,
        announcement: Announcement,
    ) -> Option<DirectoryChange> {
        let name = announcement.database.clone();
        let Some(known) = self.members.get(&name).cloned() else {
            let member = self.new_member(now, announcement);
            self.put(member);
            return Some(DirectoryChange::Appeared(name));
        };
        match announcement
            .incarnation
            .cmp(&known.announcement.incarnation)
        {
            // The store may hold an older entry again after it returned from a copy.
            Ordering::Less if announcement.incarnation.is_some() => return None,
            Ordering::Greater if known.announcement.incarnation.is_some() => {
                let member = self.new_member(now, announcement);
                self.put(member);
                return Some(DirectoryChange::Restarted(name));
            }
            _ => {}
        }
        let role_changed = known.announcement.role != announcement.role;
        let mut member = self.new_member(now, announcement);
        member.listed_since = known.listed_since;
        member.promoted_at = known.promoted_at;
        member.reported_at = known.reported_at;
        if !role_changed {
            member.primary_order = known.primary_order;
            member.confirmed_order = known.confirmed_order;
            member.refuted = known.refuted;
        } else if member.announcement.role == Role::Primary {
            member.confirmed_order = known.confirmed_order;
            member.promoted_at = Some(now);
        }
        if member.state != MemberState::Ready {
            member.leaving_since = known.leaving_since.or(member.leaving_since);
        }
        let left = known.state == MemberState::Ready && member.state != MemberState::Ready;
        let role = member.announcement.role;
        self.put(member);
        if left {
            return Some(DirectoryChange::Leaving(name));
        }
        role_changed.then_some(DirectoryChange::RoleChanged(name, role))
    }

    /// Adds a listed member, or replaces it.
    fn put(&mut self, member: Member) {
        let name = member.name().clone();
        let group = member.announcement.group.clone();
        self.holders.joined(&group, member.life());
        self.unlisted.remove(&name);
        let former = self.members.insert(name.clone(), member);
        if let Some(former) = former.filter(|former| former.announcement.group != group) {
            self.groups.remove(&former.announcement.group, &name);
        }
        self.groups.insert(&group, &name);
    }

    /// Records that a database's announcement is missing. The database may have left, or the store may
    /// have lost the announcement: [`Directory::settle_unlisted`] decides later.
    pub fn vanished(&mut self, now: Timestamp, name: &DatabaseName) {
        if let Some(member) = self.members.get_mut(name) {
            member.unlisted_since.get_or_insert(now);
            if member.state != MemberState::Gone {
                self.unlisted.insert(name.clone());
            }
        }
    }

    /// Marks databases as gone whose announcements have been missing since `time` or earlier. A running
    /// database announces itself again within its heartbeat interval.
    pub fn settle_unlisted(&mut self, time: Timestamp) -> Vec<DirectoryChange> {
        let mut changes = Vec::new();
        let members = &mut self.members;
        self.unlisted.retain(|name| {
            let Some(member) = members.get_mut(name) else {
                return false;
            };
            let Some(since) = member.unlisted_since.filter(|since| *since <= time) else {
                return true;
            };
            if member.state == MemberState::Ready {
                changes.push(DirectoryChange::Leaving(name.clone()));
            }
            member.state = MemberState::Gone;
            member.leaving_since.get_or_insert(since);
            false
        });
        changes
    }

    /// The earliest [`Member::unlisted_since`] of all databases that are not marked as gone.
    pub fn oldest_unlisted(&self) -> Option<Timestamp> {
        let pending = self.unlisted.iter();
        let pending = pending.filter_map(|name| self.members.get(name)?.unlisted_since);
        pending.min()
    }

    /// Applies the full list of announcements: known databases that are not in it count as
    /// [`vanished`](Self::vanished).
    pub fn replaced(
        &mut self,
        now: Timestamp,
        announcements: Vec<Announcement>,
    ) -> Vec<DirectoryChange> {
        let listed = announcements.iter().map(|it| &it.database);
        let listed: BTreeSet<&DatabaseName> = listed.collect();
        let unlisted = self.members.keys().filter(|name| !listed.contains(name));
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

    /// Removes gone databases that ceased to be ready before `time`.
    pub fn forget_gone_before(&mut self, time: Timestamp) -> Vec<DirectoryChange> {
        let forgotten = self.members.values().filter(|member| {
            member.state == MemberState::Gone && member.leaving_since.is_some_and(|at| at < time)
        });
        let forgotten: Vec<DatabaseName> = forgotten.map(|member| member.name().clone()).collect();
        for name in &forgotten {
            if let Some(member) = self.members.remove(name) {
                self.groups.remove(&member.announcement.group, name);
            }
            self.unlisted.remove(name);
        }
        let groups = &self.groups;
        self.confirmed
            .retain(|group| groups.members(group).next().is_some());
        forgotten
            .into_iter()
            .map(DirectoryChange::Forgotten)
            .collect()
    }

    /// Records that a database was confirmed to lead; announcements of that role by others are out of date, and so are
    /// their confirmations.
    pub fn acted_as_primary(&mut self, name: &DatabaseName) {
        let newest = self.next_order;
        let Some(member) = self.members.get_mut(name) else {
            return;
        };
        member.refuted = false;
        if member.confirmed_order == 0 || member.primary_order < newest {
            self.next_order += 1;
            member.primary_order = self.next_order;
            member.confirmed_order = self.next_order;
        }
        let group = member.announcement.group.clone();
        for other in self.groups.members(&group).filter(|other| *other != name) {
            if let Some(other) = self.members.get_mut(other) {
                other.confirmed_order = 0;
            }
        }
        self.confirmed.insert(group);
    }

    /// Records that the failover coordinator found that a database leads its group.
    pub fn promoted(&mut self, now: Timestamp, name: &DatabaseName) {
        self.acted_as_primary(name);
        if let Some(member) = self.members.get_mut(name) {
            member.promoted_at = Some(now);
            member.reported_at = Some(now);
        }
    }

    /// Records that a database refused to act as primary.
    pub fn refused_as_primary(&mut self, name: &DatabaseName) {
        if let Some(member) = self.members.get_mut(name) {
            member.refuted = true;
        }
    }

    /// The primary of `group`, as far as is known: of the databases that have not refused the role, the one
    /// that was confirmed to lead last. While none has ever been confirmed, the only database that announces the role.
    /// `None` if a database that announces the role has to be confirmed first.
    pub fn primary(&self, group: &GroupName) -> Option<&Member> {
        let claims = self.claims(group);
        let must_confirm = self.must_confirm(group, &claims);
        claims
            .best
            .filter(|best| best.confirmed_order > 0 || !must_confirm)
    }

    /// The database that would be the primary of `group` if announcements were enough, where they aren't.
    pub fn unconfirmed_primary(&self, group: &GroupName) -> Option<&Member> {
        let claims = self.claims(group);
        let must_confirm = self.must_confirm(group, &claims);
        claims
            .best
            .filter(|best| best.confirmed_order == 0 && must_confirm)
    }

    /// The primary of `group` if it was confirmed to lead and still announces itself. Another database that leads by its
    /// own account displaces it only with a newer term than the primary itself reports.
    pub fn confirmed_primary(&self, group: &GroupName) -> Option<&Member> {
        let primary = self.primary(group)?;
        let is_confirmed = primary.confirmed_order > 0 && primary.state != MemberState::Gone;
        is_confirmed.then_some(primary)
    }

    /// The databases of `group` that announce that they lead, whether or not they do.
    pub fn claimants<'a>(
        &'a self,
        group: &GroupName,
    ) -> impl Iterator<Item = &'a Member> + use<'a> {
        self.members(group).filter(|member| {
            let announces = member.announcement.role == Role::Primary;
            announces && !member.refuted && member.unlisted_since.is_none()
        })
    }

    /// True when a database of `group` announces that it leads and it isn't known whether it does so in a later term
    /// than the other databases that are known, or were known, as primary.
    pub fn is_contested(&self, group: &GroupName) -> bool {
        let claims = self.claims(group);
        match claims.best {
            Some(best) if best.confirmed_order > 0 => claims.newest_order > best.confirmed_order,
            Some(_) => self.must_confirm(group, &claims),
            None => false,
        }
    }

    /// True when an announcement isn't enough for a database of `group` to be taken for its primary.
    fn must_confirm(&self, group: &GroupName, claims: &Claims<'_>) -> bool {
        claims.count > 1 || self.confirmed.contains(group)
    }

    fn claims(&self, group: &GroupName) -> Claims<'_> {
        let mut claims = Claims::default();
        for member in self.members(group).filter(|it| it.primary_order > 0) {
            claims.count += 1;
            if member.refuted {
                continue;
            }
            claims.newest_order = claims.newest_order.max(member.primary_order);
            let order = |member: &Member| (member.confirmed_order, member.primary_order);
            if claims.best.is_none_or(|best| order(best) < order(member)) {
                claims.best = Some(member);
            }
        }
        claims
    }

    /// The databases of `group`.
    pub fn members<'a>(&'a self, group: &GroupName) -> impl Iterator<Item = &'a Member> + use<'a> {
        let names = self.groups.members(group);
        names.filter_map(|name| self.members.get(name))
    }

    /// How many databases of `group` may hold acknowledged commits, the primary included.
    pub fn log_holders(&self, group: &GroupName) -> usize {
        self.holders.count(group)
    }

    /// The databases of `group` that may hold acknowledged commits but aren't announced any more.
    pub fn departed_holders(&self, group: &GroupName) -> Vec<DatabaseLife> {
        let holders = self.holders.of(group);
        let departed = holders.filter(|holder| {
            let member = self.members.get(&holder.database);
            !member.is_some_and(|member| {
                let is_listed = member.unlisted_since.is_none() && member.life() == **holder;
                is_listed && &member.announcement.group == group
            })
        });
        departed.cloned().collect()
    }

    /// Stops counting databases as holders of acknowledged commits; see [`LogHolders::retire`] for the conditions.
    pub fn retire_holders(&mut self, group: &GroupName, lives: &[DatabaseLife]) {
        self.holders.retire(group, lives);
    }

    /// Stops counting databases that have been forgotten or have started again, in groups where `waits_for_replicas` is
    /// false: there commits are acknowledged by the primary alone.
    pub fn retire_forgotten_holders(&mut self, waits_for_replicas: impl Fn(&GroupName) -> bool) {
        let groups = self.holders.groups();
        let groups: Vec<GroupName> = groups
            .filter(|group| !waits_for_replicas(group))
            .cloned()
            .collect();
        for group in groups {
            let mut departed = self.departed_holders(&group);
            departed.retain(|life| {
                let member = self.members.get(&life.database);
                member.is_none_or(|member| member.life() != *life)
            });
            self.holders.retire(&group, &departed);
        }
    }

    /// One database.
    pub fn member(&self, name: &DatabaseName) -> Option<&Member> {
        self.members.get(name)
    }

    /// All groups that have a database.
    pub fn groups(&self) -> Vec<GroupName> {
        self.groups.groups().cloned().collect()
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
            confirmed_order: 0,
            refuted: false,
            listed_since: now,
            promoted_at: None,
            reported_at: None,
        }
    }
}
