//! Confirmation rounds: proof, before a caller is answered, that the primary has not been replaced.
//!
//! A write is confirmed when a majority of the group, the primary among them, was asked *after*
//! the write completed and answered in the primary's own term, holding the write. Any later
//! election needs the vote of one of these members, which holds the write and denies its vote to
//! candidates that don't. A read is confirmed when a majority that was asked after the read
//! arrived answered in the primary's term: no primary of a higher term was elected before that.
//!
//! Answers count by the round in which they were asked, not by the time they arrive, so late and
//! reordered answers are harmless. Only answers in exactly the primary's term support an item:
//! a member with a lower term (one that lags far behind, or that was restarted empty and forgot
//! its vote) proves nothing.

mod item;
mod member;

use std::time::Duration;

use item::Waiting;
use member::{Member, Question};

use super::{LogPosition, MemberStatus, Role, Term};
use crate::identifiers::DatabaseName;
use crate::policy::Confirmation;
use crate::time::Timestamp;

/// Number of a confirmation round at one home; grows by one with each round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RoundNumber(pub u64);

/// A round to run: ask each of `members` for its status now.
///
/// Each member asked must be followed by exactly one [`Confirmations::answered`] or
/// [`Confirmations::failed`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Round {
    /// The round's number.
    pub number: RoundNumber,
    /// Whom to ask.
    pub members: Vec<DatabaseName>,
}

/// Bounds on the status questions that rounds put to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbePacing {
    /// Unanswered questions to one member at a time. A member that doesn't answer is left out of
    /// further rounds once it has as many.
    pub in_flight: usize,
    /// Least time between two questions about the same item to one member.
    pub repeat_interval: Duration,
    /// A question that was neither answered nor reported as failed for so long is forgotten, so
    /// that a lost report doesn't keep a member out of rounds for ever.
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
    /// The term in which this member was known to lead before the write was sent.
    pub sent_in: Term,
    /// The member's status, asked behind the write on the write's own connection.
    pub behind: MemberStatus,
    /// What is to be confirmed.
    pub mode: Confirmation,
    /// When to give up.
    pub deadline: Timestamp,
}

/// What became of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Confirmed; the session has seen this position.
    Confirmed(LogPosition),
    /// Another member was elected, in `higher_term` if that is known to be above the item's own.
    Deposed {
        /// The highest term that was reported.
        higher_term: Term,
    },
    /// Not confirmed before the deadline.
    NotConfirmed,
}

/// An item that needs no more rounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolved<Item> {
    /// The caller's handle of the write or read.
    pub item: Item,
    /// What became of it.
    pub verdict: Verdict,
}

/// Confirms the writes and reads of one member that claims to be the primary.
///
/// `Item` is the home's handle of a write or read that waits.
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
    /// Confirmations for `primary`, a member of the group of `members`.
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

    /// Replaces the group's members. Support by members that are gone no longer counts.
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
        self.settle();
    }

    /// Takes a write whose reply, and the status asked behind it, have been read in full.
    ///
    /// The status must show the primary still in the term in which the write was sent. A member
    /// that was deposed and elected again in between may have cut the write off its log.
    pub fn write_finished(&mut self, item: Item, write: FinishedWrite) {
        let FinishedWrite {
            sent_in, behind, ..
        } = write;
        if behind.role != Role::Primary || behind.term != sent_in {
            let verdict = Verdict::Deposed {
                higher_term: behind.term,
            };
            self.resolved.push(Resolved { item, verdict });
            return;
        }
        let offset = match write.mode {
            Confirmation::MajorityPosition => Some(behind.log.offset),
            Confirmation::MajorityTerm => None,
        };
        let mut waiting = self.new_item(item, sent_in, write.deadline);
        waiting.offset = offset;
        waiting.seen = Some(behind.log);
        waiting.supporters.push(self.primary.clone());
        self.waiting.push(waiting);
        self.settle();
    }

    /// Takes a read that must be current. It may run meanwhile; its reply waits for the verdict.
    ///
    /// `term` is the term in which this member is known to lead.
    pub fn read_arrived(&mut self, item: Item, term: Term, deadline: Timestamp) {
        let waiting = self.new_item(item, term, deadline);
        self.waiting.push(waiting);
    }

    /// Begins a round if an item waits for one that may begin now.
    pub fn start_round(&mut self, now: Timestamp) -> Option<Round> {
        let number = self.next_round;
        let mut asked = Vec::new();
        for member in &mut self.members {
            member
                .outstanding
                .retain(|question| question.asked_at + self.pacing.forget_after > now);
            let due = self.waiting.iter().any(|item| {
                member
                    .ask_at(item, self.pacing, now)
                    .is_some_and(|at| at <= now)
            });
            if due {
                let asked_at = now;
                member.outstanding.push(Question {
                    round: number,
                    asked_at,
                });
                member.last_asked = Some((number, now));
                asked.push(member.name.clone());
            }
        }
        if asked.is_empty() {
            return None;
        }
        self.next_round = RoundNumber(number.0 + 1);
        Some(Round {
            number,
            members: asked,
        })
    }

    /// Takes the status that `member` was asked for in `round`.
    pub fn answered(&mut self, round: RoundNumber, member: &DatabaseName, status: MemberStatus) {
        if !self.close_probe(round, member) {
            return;
        }
        let is_primary = member == &self.primary;
        for item in &mut self.waiting {
            if item.first_round <= round {
                item.judge(member, is_primary, status);
            }
        }
        self.settle();
    }

    /// Notes that `member` gave no answer in `round`.
    pub fn failed(&mut self, round: RoundNumber, member: &DatabaseName) {
        self.close_probe(round, member);
    }

    /// Returns the items that are resolved by now.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Resolved<Item>> {
        let overdue = self.waiting.extract_if(.., |item| item.deadline <= now);
        let overdue = overdue.map(|waiting| Resolved {
            item: waiting.item,
            verdict: Verdict::NotConfirmed,
        });
        self.resolved.extend(overdue);
        std::mem::take(&mut self.resolved)
    }

    /// When [`Self::tick`] or [`Self::start_round`] next has something to do without other input.
    pub fn next_wakeup(&self, now: Timestamp) -> Option<Timestamp> {
        if !self.resolved.is_empty() {
            return Some(now);
        }
        let deadlines = self.waiting.iter().map(|item| item.deadline);
        let questions = self.waiting.iter().flat_map(|item| {
            self.members
                .iter()
                .filter_map(move |member| member.ask_at(item, self.pacing, now))
        });
        deadlines.chain(questions).min()
    }

    /// Number of items that wait.
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

    /// Ends the wait for an answer; false when that question was never put or is over already.
    fn close_probe(&mut self, round: RoundNumber, member: &DatabaseName) -> bool {
        let member = self.members.iter_mut().find(|known| &known.name == member);
        let Some(member) = member else {
            return false;
        };
        let open = member
            .outstanding
            .iter()
            .position(|open| open.round == round);
        open.map(|position| member.outstanding.remove(position))
            .is_some()
    }

    fn settle(&mut self) {
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
