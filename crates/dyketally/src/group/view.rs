//! What a home knows of the members of its group, and who leads.

use std::collections::BTreeMap;

use super::{MemberStatus, Role, Term};
use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

/// A member's status with the time at which it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SeenStatus {
    /// What the member answered.
    pub status: MemberStatus,
    /// When it was asked: the answer is at least as new as this.
    pub asked_at: Timestamp,
    /// When the answer arrived.
    pub answered_at: Timestamp,
}

/// A change in the group that others act on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupEvent {
    /// Another member leads, or none is known to.
    PrimaryChanged {
        /// The member that leads now and its term.
        primary: Option<(DatabaseName, Term)>,
    },
    /// A higher term was heard of.
    TermRaised {
        /// That term.
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
    /// A view of `members`, none of which has answered yet.
    pub fn new(members: impl IntoIterator<Item = DatabaseName>) -> Self {
        let members = members.into_iter().map(|member| (member, None)).collect();
        let highest_term = Term::default();
        Self {
            members,
            highest_term,
        }
    }

    /// Replaces the members; what is known of members that stay is kept.
    pub fn set_members(
        &mut self,
        members: impl IntoIterator<Item = DatabaseName>,
    ) -> Vec<GroupEvent> {
        let before = self.primary();
        let mut known = std::mem::take(&mut self.members);
        for member in members {
            let status = known.remove(&member).flatten();
            self.members.insert(member, status);
        }
        self.primary_change(before).into_iter().collect()
    }

    /// Takes a status that `member` was asked for at `asked_at`.
    ///
    /// An answer to an earlier question than the one held is dropped, as answers of several
    /// connections may overtake each other. Its term still counts.
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

    /// Forgets what `member` reported: its connection broke, so it may have been restarted.
    pub fn lost(&mut self, member: &DatabaseName) -> Vec<GroupEvent> {
        let before = self.primary();
        if let Some(held) = self.members.get_mut(member) {
            *held = None;
        }
        self.primary_change(before).into_iter().collect()
    }

    /// The member that claims to be the primary in the highest term claimed, and that term.
    ///
    /// `None` when a majority reports a higher term: that claim can't be confirmed any more.
    pub fn primary(&self) -> Option<(DatabaseName, Term)> {
        let (primary, term) = self.highest_claim()?;
        let moved_on = self
            .members
            .values()
            .flatten()
            .filter(|seen| seen.status.term > term)
            .count();
        (moved_on < self.majority()).then(|| (primary.clone(), term))
    }

    /// The highest term that any member reported.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The last status of `member`; `None` when it has not answered or its connection broke.
    pub fn status(&self, member: &DatabaseName) -> Option<SeenStatus> {
        self.members.get(member).copied().flatten()
    }

    /// The members.
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
