//! A write or read that waits to be confirmed, and the answers that support or oppose it.

use super::{ConfirmationResult, RoundNumber};
use crate::group::{LogPosition, MemberStatus, Role, Term};
use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

/// A write or read that waits to be confirmed.
#[derive(Clone, Debug)]
pub(super) struct Waiting<Item> {
    pub(super) item: Item,
    /// The primary's term in which the item is to be confirmed.
    pub(super) term: Term,
    /// Offset that a supporter's log has to reach; `None` when a matching term is enough.
    pub(super) offset: Option<u64>,
    /// The log position that the session has seen once the item is confirmed. For a read, it is known only when
    /// the primary has answered.
    pub(super) seen: Option<LogPosition>,
    /// The first round whose answers count: earlier rounds began before the item was ready to be confirmed.
    pub(super) first_round: RoundNumber,
    pub(super) deadline: Timestamp,
    /// Members that answered in the item's term and hold its offset.
    pub(super) supporters: Vec<DatabaseName>,
    /// Members that answered in a higher term.
    pub(super) opponents: Vec<DatabaseName>,
    /// The highest term reported so far, at least the item's own.
    pub(super) higher_term: Term,
    /// True once an answer has shown that the primary was replaced.
    pub(super) deposed: bool,
}

impl<Item> Waiting<Item> {
    /// The result for the item in a group of `members`; `None` while it is open.
    pub(super) fn verdict(&self, members: usize) -> Option<ConfirmationResult> {
        let majority = members / 2 + 1;
        if let Some(seen) = self.seen
            && self.supporters.len() >= majority
        {
            return Some(ConfirmationResult::Confirmed(seen));
        }
        let majority_impossible = self.opponents.len() + majority > members;
        let higher_term = self.higher_term;
        (self.deposed || majority_impossible).then_some(ConfirmationResult::Deposed { higher_term })
    }

    /// True when an answer of `member` has been counted.
    pub(super) fn has_counted(&self, member: &DatabaseName) -> bool {
        self.supporters.contains(member) || self.opponents.contains(member)
    }

    /// Counts a status that `member` reported. An answer in a lower term than the item's counts for nothing.
    pub(super) fn count_answer(
        &mut self,
        member: &DatabaseName,
        is_primary: bool,
        status: MemberStatus,
    ) {
        if status.term > self.term {
            self.oppose(member, is_primary, status);
        } else if status.term == self.term {
            self.support(member, is_primary, status);
        }
    }

    fn oppose(&mut self, member: &DatabaseName, is_primary: bool, status: MemberStatus) {
        self.higher_term = self.higher_term.max(status.term);
        self.deposed |= is_primary || status.role == Role::Primary;
        if !self.has_counted(member) {
            self.opponents.push(member.clone());
        }
    }

    fn support(&mut self, member: &DatabaseName, is_primary: bool, status: MemberStatus) {
        if is_primary && status.role != Role::Primary {
            self.deposed = true;
            return;
        }
        if is_primary && self.seen.is_none() {
            self.seen = Some(status.log);
        }
        // The log's last entry must be of this term, too. Entries of earlier terms may still be overwritten even
        // when a majority holds them: by a member whose log ends in a term between that of the entries and this one.
        let holds = self
            .offset
            .is_none_or(|offset| status.log.term == self.term && status.log.offset >= offset);
        if holds && !self.supporters.contains(member) {
            self.supporters.push(member.clone());
        }
    }
}
