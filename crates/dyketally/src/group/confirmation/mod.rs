//! Confirmation rounds prove, before a caller is answered, that the primary has not been replaced.
//!
//! A write is confirmed when a majority of the group, including the primary, was probed *after* the write
//! completed and answered in the primary's own term, holding the write. Any later election needs the vote
//! of one of these members, which holds the write and denies its vote to candidates that don't. A read is
//! confirmed when a majority that was probed after the read arrived answered in the primary's term: no
//! primary of a higher term was elected before the probes.
//!
//! An answer counts by the round of its probe, not by the time it arrives, so late and reordered answers are
//! harmless. Only answers in exactly the primary's term support an item: a member with a lower term (one
//! that lags far behind, or that was restarted empty and has lost its vote) proves nothing.

mod item;
mod member;

use std::time::Duration;

use item::Waiting;
use member::{Member, Probe};

use super::{LogPosition, MemberStatus, Role, Term};
use crate::identifiers::DatabaseName;
use crate::policy::Confirmation;
use crate::time::Timestamp;

/// Number of a confirmation round at one home node. Increases by one with each round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoundNumber(pub u64);

/// A round to run: request the status of each of `members` now.
///
/// Each of these probes has to be followed by exactly one call of [`Confirmations::record_answer`] or
/// [`Confirmations::record_failure`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// The round's number.
    pub number: RoundNumber,
    /// The members to probe.
    pub members: Vec<DatabaseName>,
}

/// Bounds on the probes (status requests) that rounds send to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbePacing {
    /// Greatest number of unanswered probes of one member. A member that doesn't answer is left out of further
    /// rounds once it has this many.
    pub in_flight: usize,
    /// Least time between two probes of one member for the same item.
    pub repeat_interval: Duration,
    /// Time after which a probe that was neither answered nor reported as failed is forgotten, so that a lost
    /// report doesn't exclude a member from rounds for ever.
    pub forget_after: Duration,
}

impl Default for ProbePacing {
    fn default() -> Self {
        Self {
            in_flight: 4,
            repeat_interval: Duration::from_millis(1),
            forget_after: Duration::from_secs(5),
        }
    }
}

/// A write that the primary has answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedWrite {
    /// The term in which the primary was known to lead before the write was sent.
    pub sent_in_term: Term,
    /// The primary's status, requested after the write on the write's own connection.
    pub status_after: MemberStatus,
    /// What a majority has to confirm.
    pub mode: Confirmation,
    /// When the write ends as [`ConfirmationResult::NotConfirmed`].
    pub deadline: Timestamp,
}

/// The result of confirming an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationResult {
    /// The item is confirmed; the session has now seen this log position.
    Confirmed(LogPosition),
    /// The primary was replaced: another member was elected, in `higher_term` if that is above the item's term.
    Deposed {
        /// The highest term that was reported.
        higher_term: Term,
    },
    /// The item was not confirmed before its deadline.
    NotConfirmed,
}

/// An item that needs no more rounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved<Item> {
    /// The home node's handle of the write or read.
    pub item: Item,
    /// The result of confirming the item.
    pub verdict: ConfirmationResult,
}

/// Confirms the writes and reads of one member that claims to be the primary.
///
/// `Item` is the home node's handle of a write or read that waits to be confirmed.
#[derive(Clone, Debug)]
pub struct Confirmations<Item> {
    primary: DatabaseName,
    members: Vec<Member>,
    pacing: ProbePacing,
    next_round: RoundNumber,
    waiting: Vec<Waiting<Item>>,
    resolved: Vec<Resolved<Item>>,
}

impl<Item> Confirmations<Item> {
    /// Creates the confirmations for `primary`, one of the group's `members`.
    pub fn new(
        primary: DatabaseName,
        members: impl IntoIterator<Item = DatabaseName>,
        pacing: ProbePacing,
    ) -> Self {
        Self {
            primary,
            members: members.into_iter().map(Member::new).collect(),
            pacing,
            next_round: RoundNumber::default(),
            waiting: Vec::new(),
            resolved: Vec::new(),
        }
    }

    /// Replaces the group's members. Answers of removed members no longer count.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = DatabaseName>) {
        let mut known = std::mem::take(&mut self.members);
        for name in members {
            let position = known.iter().position(|member| member.name == name);
            let member = position.map(|position| known.swap_remove(position));
            self.members
                .push(member.unwrap_or_else(|| Member::new(name)));
        }
        let members = &self.members;
        let stays = |name: &DatabaseName| members.iter().any(|member| &member.name == name);
        for item in &mut self.waiting {
            item.supporters.retain(&stays);
            item.opponents.retain(&stays);
        }
        self.move_resolved();
    }

    /// Adds a write whose reply has been read in full, together with the status requested after it.
    ///
    /// The status has to show that the primary still leads in the term in which the write was sent. A member
    /// that was deposed and elected again in between may have truncated the write from its log.
    pub fn write_finished(&mut self, item: Item, write: FinishedWrite) {
        let FinishedWrite {
            sent_in_term,
            status_after,
            ..
        } = write;
        if status_after.role != Role::Primary || status_after.term != sent_in_term {
            let verdict = ConfirmationResult::Deposed {
                higher_term: status_after.term,
            };
            self.resolved.push(Resolved { item, verdict });
            return;
        }
        let offset = match write.mode {
            Confirmation::MajorityPosition => Some(status_after.log.offset),
            Confirmation::MajorityTerm => None,
        };
        let mut waiting = self.new_item(item, sent_in_term, write.deadline);
        waiting.offset = offset;
        waiting.seen = Some(status_after.log);
        waiting.supporters.push(self.primary.clone());
        self.waiting.push(waiting);
        self.move_resolved();
    }

    /// Adds a read that must be current. It may run while it is being confirmed; its reply waits for the result.
    ///
    /// `term` is the term in which the primary is known to lead.
    pub fn read_arrived(&mut self, item: Item, term: Term, deadline: Timestamp) {
        let waiting = self.new_item(item, term, deadline);
        self.waiting.push(waiting);
    }

    /// Begins a round if at least one member is due to be probed now.
    pub fn start_round(&mut self, now: Timestamp) -> Option<Round> {
        let number = self.next_round;
        let mut probed = Vec::new();
        for member in &mut self.members {
            member
                .outstanding
                .retain(|probe| probe.sent_at + self.pacing.forget_after > now);
            let due = self.waiting.iter().any(|item| {
                member
                    .probe_at(item, self.pacing, now)
                    .is_some_and(|at| at <= now)
            });
            if due {
                let sent_at = now;
                member.outstanding.push(Probe {
                    round: number,
                    sent_at,
                });
                member.last_probe = Some((number, now));
                probed.push(member.name.clone());
            }
        }
        if probed.is_empty() {
            return None;
        }
        self.next_round = RoundNumber(number.0 + 1);
        Some(Round {
            number,
            members: probed,
        })
    }

    /// Records the status that `member` reported to its probe of `round`.
    pub fn record_answer(
        &mut self,
        round: RoundNumber,
        member: &DatabaseName,
        status: MemberStatus,
    ) {
        if !self.close_probe(round, member) {
            return;
        }
        let is_primary = member == &self.primary;
        for item in &mut self.waiting {
            if item.first_round <= round {
                item.count_answer(member, is_primary, status);
            }
        }
        self.move_resolved();
    }

    /// Records that the probe of `member` in `round` got no answer.
    pub fn record_failure(&mut self, round: RoundNumber, member: &DatabaseName) {
        self.close_probe(round, member);
    }

    /// Returns the items that have been resolved since the last call, overdue ones included.
    pub fn take_resolved(&mut self, now: Timestamp) -> Vec<Resolved<Item>> {
        let overdue = self.waiting.extract_if(.., |item| item.deadline <= now);
        let overdue = overdue.map(|waiting| Resolved {
            item: waiting.item,
            verdict: ConfirmationResult::NotConfirmed,
        });
        self.resolved.extend(overdue);
        std::mem::take(&mut self.resolved)
    }

    /// When [`Self::take_resolved`] or [`Self::start_round`] next has something to do without other input.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.resolved.is_empty() {
            return Some(now);
        }
        let deadlines = self.waiting.iter().map(|item| item.deadline);
        let probes = self.waiting.iter().flat_map(|item| {
            self.members
                .iter()
                .filter_map(move |member| member.probe_at(item, self.pacing, now))
        });
        deadlines.chain(probes).min()
    }

    /// Number of items that wait to be confirmed.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn new_item(&self, item: Item, term: Term, deadline: Timestamp) -> Waiting<Item> {
        Waiting {
            item,
            term,
            offset: None,
            seen: None,
            first_round: self.next_round,
            deadline,
            supporters: Vec::new(),
            opponents: Vec::new(),
            higher_term: term,
            deposed: false,
        }
    }

    /// Removes an outstanding probe; false when `member` has none of that round.
    fn close_probe(&mut self, round: RoundNumber, member: &DatabaseName) -> bool {
        let member = self.members.iter_mut().find(|known| &known.name == member);
        let Some(member) = member else {
            return false;
        };
        let position = member
            .outstanding
            .iter()
            .position(|probe| probe.round == round);
        position
            .map(|position| member.outstanding.remove(position))
            .is_some()
    }

    /// Moves the items whose result is known to `resolved`.
    fn move_resolved(&mut self) {
        let members = self.members.len();
        let settled = self
            .waiting
            .extract_if(.., |item| item.verdict(members).is_some());
        let settled = settled.filter_map(|waiting| {
            let verdict = waiting.verdict(members)?;
            let item = waiting.item;
            Some(Resolved { item, verdict })
        });
        self.resolved.extend(settled);
    }
}
