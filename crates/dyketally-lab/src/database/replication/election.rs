//! Elections: who stands, who votes, and when a member that lost its log may vote again.

use std::collections::BTreeSet;

use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;

use super::member::{Activity, Member, Progress};
use super::message::{Message, Vote, VoteKind, VoteRequest};

impl Member {
    pub(super) fn start_election(&mut self, now: Timestamp, kind: VoteKind) {
        let term = Term(self.term.0 + 1);
        if kind == VoteKind::Binding {
            self.term = term;
            self.voted_for = Some(self.settings.name.clone());
        }
        self.activity = Activity::Candidate {
            kind,
            votes: BTreeSet::new(),
        };
        self.primary = None;
        self.restart_election_timer(now);
        let log = self.store.end();
        for peer in self.settings.peers.clone() {
            let request = VoteRequest { kind, term, log };
            self.send(&peer, Message::VoteRequest(request));
        }
        self.count_votes(now);
    }

    pub(super) fn on_vote_request(
        &mut self,
        now: Timestamp,
        from: &DatabaseName,
        request: &VoteRequest,
    ) {
        let granted = match request.kind {
            VoteKind::Trial => self.grants_trial(now, request),
            VoteKind::Binding => self.grants_binding(now, from, request),
        };
        let vote = Vote {
            kind: request.kind,
            asked_term: request.term,
            term: self.term,
            granted,
        };
        self.send(from, Message::Vote(vote));
    }

    fn grants_trial(&self, now: Timestamp, request: &VoteRequest) -> bool {
        let hears_primary = self.activity == Activity::Leading
            || self
                .heard_primary_at
                .is_some_and(|at| now.saturating_since(at) < self.settings.election_timeout);
        !hears_primary && request.term > self.term && self.may_vote_for(request.log)
    }

    fn grants_binding(
        &mut self,
        now: Timestamp,
        from: &DatabaseName,
        request: &VoteRequest,
    ) -> bool {
        self.observe_term(now, request.term);
        let free = self.voted_for.as_ref().is_none_or(|name| name == from);
        let granted = request.term == self.term && free && self.may_vote_for(request.log);
        if granted {
            self.voted_for = Some(from.clone());
            self.restart_election_timer(now);
        }
        granted
    }

    fn may_vote_for(&self, candidate_log: LogPosition) -> bool {
        !self.is_joining() && candidate_log >= self.store.end()
    }

    pub(super) fn on_vote(&mut self, now: Timestamp, from: &DatabaseName, vote: &Vote) {
        self.observe_term(now, vote.term);
        let current_term = self.term;
        let Activity::Candidate { kind, votes } = &mut self.activity else {
            return;
        };
        let asked_term = match kind {
            VoteKind::Trial => Term(current_term.0 + 1),
            VoteKind::Binding => current_term,
        };
        if vote.granted && vote.kind == *kind && vote.asked_term == asked_term {
            votes.insert(from.clone());
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: Timestamp) {
        let Activity::Candidate { kind, votes } = &self.activity else {
            return;
        };
        let votes_with_own = votes.len() + 1;
        if votes_with_own < self.majority() {
            return;
        }
        match kind {
            VoteKind::Trial => self.start_election(now, VoteKind::Binding),
            VoteKind::Binding => self.lead(now),
        }
    }

    fn lead(&mut self, now: Timestamp) {
        self.activity = Activity::Leading;
        let progress = Progress {
            sent: self.store.end().offset,
            ..Progress::default()
        };
        let peers = self.settings.peers.iter();
        self.progress = peers.map(|peer| (peer.clone(), progress)).collect();
        // The empty entry raises the log's term, so that replicas drop what they hold beyond it.
        let appended = self.append(Vec::new());
        debug_assert!(appended.is_ok(), "a member that leads can append");
        self.replicate(now);
    }

    pub(super) fn on_elect_now(&mut self, now: Timestamp, term: Term) {
        self.observe_term(now, term);
        if term == self.term {
            self.elect(now);
        }
    }

    pub(super) fn ask_terms(&mut self, now: Timestamp) {
        if now.saturating_since(self.asked_terms_at) < self.settings.heartbeat {
            return;
        }
        self.asked_terms_at = now;
        for peer in self.settings.peers.clone() {
            self.send(&peer, Message::TermRequest);
        }
    }

    pub(super) fn on_term_reply(&mut self, from: &DatabaseName, term: Term) {
        if let Some(heard) = &mut self.joining {
            heard.insert(from.clone());
            self.term = self.term.max(term);
        }
    }

    /// Ends joining when the log equals that of a primary whose term no peer has outrun.
    ///
    /// A vote that the member gave before it lost its log was part of a majority. With this many
    /// peers heard from, at least one other voter of that majority is among them.
    /// A second vote in the primary's own term is ruled out by the primary's first entry, which no
    /// other candidate of that term can hold.
    pub(super) fn end_joining_when_caught_up(&mut self, primary_end: u64) {
        let Some(heard) = &self.joining else {
            return;
        };
        let needed = self.settings.peers.len() + 2 - self.majority();
        if heard.len() >= needed && self.store.end().offset >= primary_end {
            self.joining = None;
        }
    }
}
