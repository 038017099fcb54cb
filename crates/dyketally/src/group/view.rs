//! The members of a group as their home node knows them, and which of them leads.

use std::collections::BTreeMap;

use super::{MemberStatus, Role, Term};
use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

/// A member's status, with the times at which it was requested and received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenStatus {
    /// The status that the member reported.
    pub status: MemberStatus,
    /// When the status was requested; it is at least as new as this.
    pub asked_at: Timestamp,
    /// When the answer arrived.
    pub answered_at: Timestamp,
}

/// A change of a group's primary or term.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// Another member leads, or no member is known to lead any more.
    PrimaryChanged {
        /// The member that leads now, and its term; `None` when no leader is known.
        primary: Option<(DatabaseName, Term)>,
    },
    /// A member reported a higher term than any before.
    TermRaised {
        /// The higher term.
        term: Term,
    },
}

/// The last known status of each member of a group.
#[derive(Clone, Debug)]
pub struct GroupView {
    members: BTreeMap<DatabaseName, Option<SeenStatus>>,
    highest_term: Term,
}

impl GroupView {
    /// Creates a view of `members` in which no member has reported a status.
    pub fn new(members: impl IntoIterator<Item = DatabaseName>) -> Self {
        let members = members.into_iter().map(|member| (member, None)).collect();
        let highest_term = Term::default();
        Self {
            members,
            highest_term,
        }
    }

    /// Replaces the members. The status of members that remain is kept.
    pub fn set_members(
        &mut self,
        members: impl IntoIterator<Item = DatabaseName>,
    ) -> Vec<GroupEvent> {
        let before = self.primary();
        let mut former = std::mem::take(&mut self.members);
        for member in members {
            let status = former.remove(&member).flatten();
            self.members.insert(member, status);
        }
        self.primary_change(before).into_iter().collect()
    }

    /// Records a status of `member` that was requested at `asked_at`.
    ///
    /// If the status held was requested later, the new one is dropped, since answers on different connections
    /// may overtake each other; its term still counts.
    pub fn observe(
        &mut self,
        now: Timestamp,
        member: &DatabaseName,
        status: MemberStatus,
        asked_at: Timestamp,
    ) -> Vec<GroupEvent> {
        let before = self.primary();
        let Some(held) = self.members.get_mut(member) else {
            return Vec::new();
        };
        let overtaken = held.is_some_and(|held| held.asked_at > asked_at);
        if !overtaken {
            *held = Some(SeenStatus {
                status,
                asked_at,
                answered_at: now,
            });
        }
        let mut events = Vec::new();
        if status.term > self.highest_term {
            self.highest_term = status.term;
            events.push(GroupEvent::TermRaised { term: status.term });
        }
        events.extend(self.primary_change(before));
        events
    }

    /// Forgets the status of `member`: its connection broke, so it may have been restarted.
    pub fn forget_status(&mut self, member: &DatabaseName) -> Vec<GroupEvent> {
        let before = self.primary();
        if let Some(held) = self.members.get_mut(member) {
            *held = None;
        }
        self.primary_change(before).into_iter().collect()
    }

    /// Of the members that claim to be the primary, the one with the highest term, and that term.
    ///
    /// `None` when no member claims it, or when a majority reports a higher term: the claim can then no longer be
    /// confirmed.
    pub fn primary(&self) -> Option<(DatabaseName, Term)> {
        let (primary, term) = self.highest_claim()?;
        let with_higher_term = self
            .members
            .values()
            .flatten()
            .filter(|seen| seen.status.term > term)
            .count();
        (with_higher_term < self.majority()).then(|| (primary.clone(), term))
    }

    /// The highest term that any member reported.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The last status of `member`; `None` when it has not answered or its connection broke.
    pub fn status(&self, member: &DatabaseName) -> Option<SeenStatus> {
        self.members.get(member).copied().flatten()
    }

    /// The names of the members.
    pub fn members(&self) -> impl Iterator<Item = &DatabaseName> {
        self.members.keys()
    }

    /// Number of members that make a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn highest_claim(&self) -> Option<(&DatabaseName, Term)> {
        self.members
            .iter()
            .filter_map(|(member, seen)| Some((member, seen.as_ref()?.status)))
            .filter(|(_, status)| status.role == Role::Primary)
            .map(|(member, status)| (member, status.term))
            .max_by_key(|(_, term)| *term)
    }

    fn primary_change(&self, before: Option<(DatabaseName, Term)>) -> Option<GroupEvent> {
        let primary = self.primary();
        (primary != before).then_some(GroupEvent::PrimaryChanged { primary })
    }
}
