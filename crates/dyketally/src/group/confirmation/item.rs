//! A write or read that waits to be confirmed, and the answers that count for it.

use super::{RoundNumber, Verdict};
use crate::group::{LogPosition, MemberStatus, Role, Term};
use crate::identifiers::DatabaseName;
use crate::time::Timestamp;

#[derive(Clone, Debug)]
pub(super) struct Waiting<Item> {
    pub(super) item: Item,
    pub(super) term: Term,
    /// What another member's log must hold; `None` when the term is enough.
    pub(super) offset: Option<u64>,
    /// What the session will have seen; for a read, known once the primary has answered.
    pub(super) seen: Option<LogPosition>,
    /// Rounds before this one began too early to say anything about the item.
    pub(super) first_round: RoundNumber,
    pub(super) deadline: Timestamp,
    pub(super) supporters: Vec<DatabaseName>,
    pub(super) opponents: Vec<DatabaseName>,
    pub(super) higher_term: Term,
    pub(super) deposed: bool,
}

impl<Item> Waiting<Item> {
    pub(super) fn verdict(&self, members: usize) -> Option<Verdict> {
        let majority = members / 2 + 1;
        if let Some(seen) = self.seen
            && self.supporters.len() >= majority
        {
            return Some(Verdict::Confirmed(seen));
        }
        let out_of_reach = self.opponents.len() + majority > members;
        let higher_term = self.higher_term;
        (self.deposed || out_of_reach).then_some(Verdict::Deposed { higher_term })
    }

    pub(super) fn has_judged(&self, member: &DatabaseName) -> bool {
        self.supporters.contains(member) || self.opponents.contains(member)
    }

    pub(super) fn judge(&mut self, member: &DatabaseName, is_primary: bool, status: MemberStatus) {
        if status.term > self.term {
            self.oppose(member, is_primary, status);
        } else if status.term == self.term {
            self.support(member, is_primary, status);
        }
    }

    fn oppose(&mut self, member: &DatabaseName, is_primary: bool, status: MemberStatus) {
        self.higher_term = self.higher_term.max(status.term);
        self.deposed |= is_primary || status.role == Role::Primary;
        if !self.has_judged(member) {
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
        // The log's last entry must be of this term, too: entries of earlier terms on a majority
        // may still be overwritten by a member whose log ends in a term between.
        let holds = self
            .offset
            .is_none_or(|offset| status.log.term == self.term && status.log.offset >= offset);
        if holds && !self.supporters.contains(member) {
            self.supporters.push(member.clone());
        }
    }
}
