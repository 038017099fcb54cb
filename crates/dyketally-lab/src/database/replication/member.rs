//! One member of a group as a state machine: messages and time in, messages out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dyketally::group::{LogPosition, MemberStatus, Role, Term};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::message::{Message, VoteKind};
use crate::database::store::{LogEntry, RowWrite, Store};

/// The database is not the primary, so nothing was appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the database is not the primary; send the write to the primary")]
pub struct NotPrimary;

/// Settings of one member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// The member's own name.
    pub name: DatabaseName,
    /// The other members.
    pub peers: Vec<DatabaseName>,
    /// Shortest time without a primary before an election.
    pub election_timeout: Duration,
    /// Time between two heartbeats of a primary.
    pub heartbeat: Duration,
    /// The member lost its log and must catch up before it votes or serves.
    pub joining: bool,
    /// Seed of the election timeouts.
    pub seed: u64,
}

/// What a member is doing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Activity {
    /// Follows a primary, if there is one.
    Following,
    /// Collects votes of this kind from these peers.
    Candidate {
        /// Trial or binding.
        kind: VoteKind,
        /// Who granted a vote.
        votes: BTreeSet<DatabaseName>,
    },
    /// Leads.
    Leading,
}

/// What a primary knows of one replica's log.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Offset after which the next append starts.
    pub sent: u64,
    /// Offset up to which the replica's log is known to equal the primary's.
    pub matched: u64,
    /// Number of the next append.
    pub next_sequence: u64,
    /// Rejections of appends before this number are out of date.
    pub first_valid_sequence: u64,
    /// When something was sent last.
    pub sent_at: Timestamp,
}

/// One member of a group.
#[derive(Debug)]
pub struct Member {
    pub(super) settings: MemberSettings,
    pub(super) store: Store,
    pub(super) term: Term,
    pub(super) voted_for: Option<DatabaseName>,
    pub(super) activity: Activity,
    pub(super) progress: BTreeMap<DatabaseName, Progress>,
    pub(super) primary: Option<DatabaseName>,
    pub(super) heard_primary_at: Option<Timestamp>,
    pub(super) election_at: Timestamp,
    /// While joining: the peers whose term was heard.
    pub(super) joining: Option<BTreeSet<DatabaseName>>,
    pub(super) asked_terms_at: Timestamp,
    pub(super) outbox: Vec<(DatabaseName, Message)>,
    leaving: bool,
    pub(super) stay_leading: bool,
    random: StdRng,
}

/// A member that has just stepped down stands for election only after this many timeouts.
const TIMEOUTS_AFTER_STEPPING_DOWN: u32 = 4;

impl Member {
    /// A member with an empty log.
    pub fn new(settings: MemberSettings, now: Timestamp) -> Self {
        let joining = settings.joining.then(BTreeSet::new);
        let random = StdRng::seed_from_u64(settings.seed);
        let mut member = Self {
            settings,
            store: Store::default(),
            term: Term::default(),
            voted_for: None,
            activity: Activity::Following,
            progress: BTreeMap::new(),
            primary: None,
            heard_primary_at: None,
            election_at: now,
            joining,
            asked_terms_at: Timestamp::ZERO,
            outbox: Vec::new(),
            leaving: false,
            stay_leading: false,
            random,
        };
        // The first election needs no time for a primary to be heard.
        let first_timeout = member.election_timeout() / 2;
        member.election_at = now + first_timeout;
        member
    }

    /// Role, term and log position, as the status statement reports them.
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role(),
            term: self.term,
            log: self.store.end(),
        }
    }

    /// The role that the member believes it has.
    pub fn role(&self) -> Role {
        match self.activity {
            Activity::Leading => Role::Primary,
            Activity::Following | Activity::Candidate { .. } => Role::Replica,
        }
    }

    /// True until a member that lost its log has caught up.
    pub fn is_joining(&self) -> bool {
        self.joining.is_some()
    }

    /// The log and the tables.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// The primary that the member follows, if it has heard one in its term.
    pub fn followed(&self) -> Option<&DatabaseName> {
        let follows = self.activity == Activity::Following;
        self.primary.as_ref().filter(|_| follows)
    }

    /// Takes notice of a part of a message that the primary sends.
    pub fn hear_part(&mut self, now: Timestamp) {
        self.heard_primary_at = Some(now);
        self.restart_election_timer(now);
    }

    /// Takes notice that the member has just stood still for `time`. It couldn't hear anybody, so that time
    /// doesn't count as silence of the primary; without this, members of one process depose a primary that
    /// stood still with them.
    pub fn stood_still(&mut self, time: Duration) {
        self.election_at = self.election_at + time;
        self.heard_primary_at = self.heard_primary_at.map(|at| at + time);
    }

    /// True while the member stands for election.
    pub fn is_candidate(&self) -> bool {
        matches!(self.activity, Activity::Candidate { .. })
    }

    /// Appends the writes of one transaction.
    ///
    /// # Errors
    /// When the member isn't the primary.
    pub fn append(&mut self, writes: Vec<RowWrite>) -> Result<LogPosition, NotPrimary> {
        if self.activity != Activity::Leading {
            return Err(NotPrimary);
        }
        let entry = LogEntry {
            term: self.term,
            writes,
        };
        Ok(self.store.append(Arc::new(entry)))
    }

    /// Lets time pass: elections, heartbeats and new entries.
    pub fn tick(&mut self, now: Timestamp) {
        if self.activity == Activity::Leading {
            self.replicate(now);
            self.hand_over(now);
            return;
        }
        if self.is_joining() {
            self.ask_terms(now);
        } else if now >= self.election_at && !self.leaving {
            self.start_election(now, VoteKind::Trial);
        }
    }

    /// Handles a message of a peer.
    pub fn receive(&mut self, now: Timestamp, from: &DatabaseName, message: Message) {
        if self.activity == Activity::Leading
            && self.stay_leading
            && message.term().is_some_and(|term| term > self.term)
        {
            return;
        }
        match message {
            Message::VoteRequest(request) => self.on_vote_request(now, from, &request),
            Message::Vote(vote) => self.on_vote(now, from, &vote),
            Message::Append(append) => self.on_append(now, from, append),
            Message::AppendReply(reply) => self.on_append_reply(now, from, &reply),
            Message::TermRequest => self.send(from, Message::TermReply { term: self.term }),
            Message::TermReply { term } => self.on_term_reply(from, term),
            Message::ElectNow { term } => self.on_elect_now(now, term),
        }
    }

    /// Starts a binding election at once.
    pub fn elect(&mut self, now: Timestamp) {
        if self.activity != Activity::Leading && !self.is_joining() && !self.leaving {
            self.start_election(now, VoteKind::Binding);
        }
    }

    /// Ceases to lead and asks the replica with the longest log to stand for election.
    pub fn step_down(&mut self, now: Timestamp) {
        if self.activity != Activity::Leading {
            return;
        }
        let ahead = self.progress.iter().max_by_key(|(_, peer)| peer.matched);
        if let Some((peer, _)) = ahead {
            let peer = peer.clone();
            self.send(&peer, Message::ElectNow { term: self.term });
        }
        self.follow(now, None);
        self.election_at = now + self.settings.election_timeout * TIMEOUTS_AFTER_STEPPING_DOWN;
    }

    /// Leaves: never stands for election, and hands over once a replica has the whole log.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// While set, a primary ignores higher terms and so goes on believing that it leads.
    pub fn set_stay_leading(&mut self, stay_leading: bool) {
        self.stay_leading = stay_leading;
    }

    /// Messages to send, in order.
    pub fn take_outbox(&mut self) -> Vec<(DatabaseName, Message)> {
        std::mem::take(&mut self.outbox)
    }

    fn hand_over(&mut self, now: Timestamp) {
        let end = self.store.end().offset;
        let whole = self.progress.values().any(|peer| peer.matched == end);
        if self.leaving && !self.stay_leading && whole {
            self.step_down(now);
        }
    }

    /// Takes over a higher term. Ends a candidacy or a lead in a lower one.
    pub(super) fn observe_term(&mut self, now: Timestamp, term: Term) {
        if term <= self.term {
            return;
        }
        self.term = term;
        self.voted_for = None;
        if self.activity != Activity::Following {
            self.follow(now, None);
        }
    }

    pub(super) fn follow(&mut self, now: Timestamp, primary: Option<DatabaseName>) {
        self.activity = Activity::Following;
        self.primary = primary;
        self.restart_election_timer(now);
    }

    pub(super) fn restart_election_timer(&mut self, now: Timestamp) {
        self.election_at = now + self.election_timeout();
    }

    fn election_timeout(&mut self) -> Duration {
        let factor = self.random.random_range(1.0..2.0);
        self.settings.election_timeout.mul_f64(factor)
    }

    pub(super) fn send(&mut self, to: &DatabaseName, message: Message) {
        self.outbox.push((to.clone(), message));
    }

    /// Members that make a majority of the group, this one included.
    pub(super) fn majority(&self) -> usize {
        let members = self.settings.peers.len() + 1;
        members / 2 + 1
    }
}

impl Message {
    /// The term that the sender is in, where the message says so.
    fn term(&self) -> Option<Term> {
        match self {
            Self::VoteRequest(request) => Some(request.term),
            Self::Vote(vote) => Some(vote.term),
            Self::Append(append) => Some(append.term),
            Self::AppendReply(reply) => Some(reply.term),
            Self::TermReply { term } | Self::ElectNow { term } => Some(*term),
            Self::TermRequest => None,
        }
    }
}
