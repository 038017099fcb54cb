//! Copying the primary's log to the replicas.

use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;

use super::member::{Activity, Member};
use super::message::{Append, AppendReply, Message};

/// Entries in one append at most.
const LARGEST_APPEND: usize = 4_096;

impl Member {
    /// Sends new entries, and heartbeats where they are due.
    pub fn replicate(&mut self, now: Timestamp) {
        if self.activity != Activity::Leading {
            return;
        }
        for peer in self.settings.peers.clone() {
            self.replicate_to(now, &peer);
        }
    }

    fn replicate_to(&mut self, now: Timestamp, peer: &DatabaseName) {
        let end_offset = self.store.end().offset;
        let heartbeat = self.settings.heartbeat;
        let Some(progress) = self.progress.get_mut(peer) else {
            return;
        };
        let heartbeat_due = now.saturating_since(progress.sent_at) >= heartbeat;
        if progress.sent == end_offset && !heartbeat_due {
            return;
        }
        let offset = progress.sent;
        let previous_term = self.store.term_at(offset).unwrap_or_default();
        let entries = self.store.entries_after(offset, LARGEST_APPEND);
        let append = Append {
            term: self.term,
            sequence: progress.next_sequence,
            previous: LogPosition {
                term: previous_term,
                offset,
            },
            end_offset,
            entries,
        };
        progress.sent += append.entries.len() as u64;
        progress.next_sequence += 1;
        progress.sent_at = now;
        self.send(peer, Message::Append(append));
    }

    /// Takes notice of a primary whose append is applied later, because this member lags.
    pub fn hear_primary(&mut self, now: Timestamp, from: &DatabaseName, term: Term) {
        if term < self.term || (self.activity == Activity::Leading && self.stay_leading) {
            return;
        }
        self.observe_term(now, term);
        self.heard_primary_at = Some(now);
        self.follow(now, Some(from.clone()));
    }

    pub(super) fn on_append(&mut self, now: Timestamp, from: &DatabaseName, append: Append) {
        if append.term < self.term {
            let end = self.store.end().offset;
            self.reply_to_append(from, append.sequence, false, end);
            return;
        }
        self.hear_primary(now, from, append.term);
        if let Some(offset) = self.divergence(append.previous) {
            self.reply_to_append(from, append.sequence, false, offset);
            return;
        }
        let primary_end = append.end_offset;
        let sequence = append.sequence;
        let matched = self.take_over(append);
        self.end_joining_when_caught_up(primary_end);
        self.reply_to_append(from, sequence, true, matched);
    }

    /// Where to go on from when the log doesn't hold `previous`.
    fn divergence(&self, previous: LogPosition) -> Option<u64> {
        let Some(own_term) = self.store.term_at(previous.offset) else {
            return Some(self.store.end().offset);
        };
        if own_term == previous.term {
            return None;
        }
        // Nothing of the conflicting term can be relied upon.
        let mut offset = previous.offset;
        while offset > 0 && self.store.term_at(offset) == Some(own_term) {
            offset -= 1;
        }
        Some(offset)
    }

    /// Appends what is missing; a tail that differs from the primary's is truncated.
    fn take_over(&mut self, append: Append) -> u64 {
        let mut offset = append.previous.offset;
        for entry in append.entries {
            match self.store.term_at(offset + 1) {
                Some(term) if term == entry.term => {}
                _ => {
                    self.store.truncate(offset);
                    self.store.append(entry);
                }
            }
            offset += 1;
        }
        offset
    }

    fn reply_to_append(&mut self, to: &DatabaseName, sequence: u64, accepted: bool, offset: u64) {
        let reply = AppendReply {
            term: self.term,
            sequence,
            accepted,
            offset,
        };
        self.send(to, Message::AppendReply(reply));
    }

    pub(super) fn on_append_reply(
        &mut self,
        now: Timestamp,
        from: &DatabaseName,
        reply: &AppendReply,
    ) {
        self.observe_term(now, reply.term);
        if self.activity != Activity::Leading || reply.term != self.term {
            return;
        }
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        if reply.accepted {
            progress.matched = progress.matched.max(reply.offset);
            return;
        }
        // A replica that was restarted holds less than it once did.
        progress.matched = progress.matched.min(reply.offset);
        if reply.sequence < progress.first_valid_sequence {
            return;
        }
        // Appends that are under way were built on the wrong offset; their rejections don't count.
        progress.first_valid_sequence = progress.next_sequence;
        progress.sent = reply.offset.min(progress.sent);
        self.replicate_to(now, from);
    }
}
