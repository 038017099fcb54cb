//! The checker: finds violations of the system's guarantees in a history.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

use super::{
    Digest, Event, Key, LookupAnswer, LookupBegan, LookupEnded, RequestNumber, SessionName,
    Statement, TransactionEnd, TransactionName, Violation, WriteBegan, WriteEnded, WriteOutcome,
};
use crate::identifiers::{DatabaseName, NodeName};
use crate::policy::{Repeat, Revision};
use crate::time::Timestamp;

/// Time limits that the checker applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckSettings {
    /// Time after its announcement during which transactions may still begin at a leaving database.
    pub leaving_grace: Duration,
}

impl Default for CheckSettings {
    fn default() -> Self {
        Self {
            leaving_grace: Duration::from_secs(5),
        }
    }
}

/// Returns all violations that the history of a whole run, with its final entries, shows. They are in
/// the order in which the checker finds them.
pub fn check(history: &[Event], settings: CheckSettings) -> Vec<Violation> {
    let mut checker = Checker {
        settings,
        ..Checker::default()
    };
    history.iter().for_each(|event| checker.add(event));
    checker.finish()
}

#[derive(Default)]
struct Checker {
    settings: CheckSettings,
    violations: Vec<Violation>,
    /// All writes, with the outcomes reported so far.
    writes: BTreeMap<RequestNumber, (WriteBegan, Option<WriteOutcome>)>,
    /// Lookups without an answer so far.
    lookups: BTreeMap<RequestNumber, Lookup>,
    /// All values that callers sent under each key.
    values: HashMap<Key, BTreeSet<String>>,
    /// Keys of each session's acknowledged writes.
    own_writes: HashMap<SessionName, HashSet<Key>>,
    /// The open transaction of each connection.
    open: HashMap<(DatabaseName, u64), TransactionName>,
    /// All transactions that have begun.
    begun: HashSet<TransactionName>,
    /// How often databases committed each write.
    commits: HashMap<RequestNumber, u64>,
    /// When each leaving database was announced.
    leaving: HashMap<DatabaseName, Timestamp>,
    /// Digest of each revision's documents.
    contents: HashMap<Revision, Digest>,
    /// The newest accepted revision.
    accepted: Revision,
    /// Digests of refused changes.
    refused: HashSet<Digest>,
    /// The newest revision that each node had in force.
    in_force: HashMap<NodeName, Revision>,
    /// How often each key in the final log was applied.
    final_entries: BTreeMap<Key, u64>,
    /// Keys of which at least one write was not reported as not run.
    possibly_run: HashSet<Key>,
    /// Keys of writes that the system may run more than once.
    repeatable: HashSet<Key>,
}

/// A lookup without an answer so far.
struct Lookup {
    began: LookupBegan,
    /// The session had an acknowledged write of the key when the lookup began.
    must_find: bool,
}

impl Checker {
    fn add(&mut self, event: &Event) {
        match event {
            Event::WriteBegan(write) => self.write_began(write),
            Event::WriteEnded(ended) => self.write_ended(ended),
            Event::LookupBegan(lookup) => self.lookup_began(lookup),
            Event::LookupEnded(ended) => self.lookup_ended(ended),
            Event::Statement(statement) => self.statement(statement),
            Event::ConnectionClosed {
                database,
                connection,
            } => {
                self.open.remove(&(database.clone(), *connection));
            }
            Event::Leaving { database, at } => self.leaving.extend([(database.clone(), *at)]),
            Event::Stopped { cut_off: 0, .. } => {}
            Event::Stopped { node, cut_off } => {
                let (node, cut_off) = (node.clone(), *cut_off);
                self.report(Violation::StopCutOff { node, cut_off });
            }
            Event::Accepted { revision, digest } => self.accepted(*revision, *digest),
            Event::Refused { digest } => self.refused.extend([*digest]),
            Event::InForce {
                node,
                revision,
                digest,
            } => self.in_force(node, *revision, *digest),
            Event::FinalConfiguration { node, revision } => {
                self.final_configuration(node, *revision)
            }
            Event::FinalEntry { key, value, times } => self.final_entry(key, value, *times),
        }
    }

    fn report(&mut self, violation: Violation) {
        self.violations.push(violation);
    }

    fn write_began(&mut self, write: &WriteBegan) {
        for entry in &write.entries {
            let values = self.values.entry(entry.key.clone()).or_default();
            values.insert(entry.value.clone());
        }
        self.writes.insert(write.request, (write.clone(), None));
    }

    fn write_ended(&mut self, ended: &WriteEnded) {
        let request = ended.request;
        let Some((write, outcome @ None)) = self.writes.get_mut(&request) else {
            return self.report(Violation::UnexpectedReply { request });
        };
        *outcome = Some(ended.outcome);
        if ended.outcome == WriteOutcome::Acknowledged {
            let own = self.own_writes.entry(write.session.clone()).or_default();
            own.extend(write.entries.iter().map(|entry| entry.key.clone()));
        }
    }

    fn lookup_began(&mut self, began: &LookupBegan) {
        let own = self.own_writes.get(&began.session);
        let lookup = Lookup {
            began: began.clone(),
            must_find: own.is_some_and(|keys| keys.contains(&began.key)),
        };
        self.lookups.insert(began.request, lookup);
    }

    fn lookup_ended(&mut self, ended: &LookupEnded) {
        let request = ended.request;
        let Some(waiting) = self.lookups.remove(&request) else {
            return self.report(Violation::UnexpectedReply { request });
        };
        let (lookup, must_find) = (waiting.began, waiting.must_find);
        match ended.answer.clone() {
            LookupAnswer::Absent if must_find => {
                self.report(Violation::OwnWriteNotRead { lookup });
            }
            LookupAnswer::Found(value) if !self.was_written(&lookup.key, &value) => {
                self.report(Violation::ForeignAnswer { lookup, value });
            }
            _ => {}
        }
    }

    fn was_written(&self, key: &Key, value: &str) -> bool {
        self.values
            .get(key)
            .is_some_and(|values| values.contains(value))
    }

    fn statement(&mut self, statement: &Statement) {
        let transaction = &statement.transaction;
        let place = (statement.database.clone(), statement.connection);
        match self.open.get(&place) {
            Some(open) if open == transaction => {}
            Some(open) => self.report(Violation::TransactionsMixed {
                open: open.clone(),
                statement: statement.clone(),
            }),
            None => self.transaction_begins(statement),
        }
        if statement.end.is_none() {
            self.open.insert(place, transaction.clone());
            return;
        }
        self.open.remove(&place);
        if let (Some(request), Some(TransactionEnd::Committed)) = (statement.write, statement.end) {
            *self.commits.entry(request).or_default() += 1;
        }
    }

    fn transaction_begins(&mut self, statement: &Statement) {
        if !self.begun.insert(statement.transaction.clone()) {
            let statement = statement.clone();
            self.report(Violation::TransactionMoved { statement });
        }
        let leaving = self.leaving.get(&statement.database);
        if leaving.is_some_and(|at| statement.at > *at + self.settings.leaving_grace) {
            let statement = statement.clone();
            self.report(Violation::WorkAfterLeaving { statement });
        }
    }

    fn accepted(&mut self, revision: Revision, digest: Digest) {
        self.accepted = self.accepted.max(revision);
        self.record_content(revision, digest);
    }

    fn in_force(&mut self, node: &NodeName, revision: Revision, digest: Digest) {
        let held = self.in_force.get(node).copied().unwrap_or_default();
        if revision < held {
            let (node, from, to) = (node.clone(), held, revision);
            self.report(Violation::ConfigurationReverted { node, from, to });
        }
        self.in_force.insert(node.clone(), revision.max(held));
        self.record_content(revision, digest);
    }

    fn record_content(&mut self, revision: Revision, digest: Digest) {
        if *self.contents.entry(revision).or_insert(digest) != digest {
            self.report(Violation::ConfigurationForked { revision });
        }
    }

    fn final_configuration(&mut self, node: &NodeName, revision: Revision) {
        let accepted = self.accepted;
        if revision < accepted {
            let node = node.clone();
            self.report(Violation::ConfigurationMissed {
                node,
                revision,
                accepted,
            });
        }
    }

    fn final_entry(&mut self, key: &Key, value: &str, times: u64) {
        if !self.was_written(key, value) {
            let key = key.clone();
            self.report(Violation::ForeignEntry { key });
        }
        *self.final_entries.entry(key.clone()).or_default() += times;
    }

    fn finish(mut self) -> Vec<Violation> {
        for request in std::mem::take(&mut self.lookups).into_keys() {
            self.report(Violation::Unanswered { request });
        }
        for (write, outcome) in std::mem::take(&mut self.writes).into_values() {
            self.check_write(&write, outcome);
        }
        self.check_final_entries();
        for (revision, digest) in std::mem::take(&mut self.contents) {
            if self.refused.contains(&digest) {
                self.report(Violation::RefusedInForce { revision });
            }
        }
        self.violations
    }

    fn check_write(&mut self, write: &WriteBegan, outcome: Option<WriteOutcome>) {
        let request = write.request;
        let commits = self.commits.get(&request).copied().unwrap_or_default();
        if write.repeat == Repeat::Never && commits > 1 {
            self.report(Violation::RunTwice { request });
        }
        let kept = write.entries.iter();
        let kept = kept.filter(|entry| self.final_entries.contains_key(&entry.key));
        let kept = kept.count();
        match outcome {
            None => self.report(Violation::Unanswered { request }),
            // A recorded write may rightly be reported as not run after a primary committed it, if the
            // group didn't keep that commit and the ledger shows that.
            Some(WriteOutcome::NotRun) if commits > 0 && write.repeat != Repeat::Recorded => {
                self.report(Violation::NotRunWasCommitted { request });
            }
            Some(WriteOutcome::Acknowledged) if kept < write.entries.len() => {
                self.report(Violation::AcknowledgedWriteLost { request });
            }
            Some(_) if (1..write.entries.len()).contains(&kept) => {
                self.report(Violation::AppliedInPart { request });
            }
            Some(_) => {}
        }
        self.note_key_outcomes(write, outcome);
    }

    fn note_key_outcomes(&mut self, write: &WriteBegan, outcome: Option<WriteOutcome>) {
        for entry in &write.entries {
            if outcome != Some(WriteOutcome::NotRun) {
                self.possibly_run.insert(entry.key.clone());
            }
            if write.repeat == Repeat::Repeatable {
                self.repeatable.insert(entry.key.clone());
            }
        }
    }

    fn check_final_entries(&mut self) {
        for (key, times) in std::mem::take(&mut self.final_entries) {
            if times > 1 && !self.repeatable.contains(&key) {
                let key = key.clone();
                self.report(Violation::AppliedTwice { key, times });
            }
            if self.values.contains_key(&key) && !self.possibly_run.contains(&key) {
                self.report(Violation::NotRunWasApplied { key });
            }
        }
    }
}
