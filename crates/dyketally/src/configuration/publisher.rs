//! Publishes one change: a state machine over the key-value service.
//!
//! The change is made on the revision that the operator saw, by one transaction that compares the
//! revision counter and writes counter and change. The same transaction may be sent again at will,
//! because the counter lets it take effect only once. When a reply is lost, the change that follows
//! the seen revision is read: it is either one's own, or another one, or there is none yet.

use std::time::Duration;

use rand::Rng;

use crate::policy::Revision;
use crate::time::Timestamp;

use super::change::{Change, ChangeId};

/// How long a publisher goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Time from the start until it gives up.
    pub patience: Duration,
    /// Longest wait before the first repetition; doubles with each.
    pub backoff: Duration,
    /// Bound of the longest wait.
    pub longest_backoff: Duration,
}

impl Default for PublisherSettings {
    fn default() -> Self {
        Self {
            patience: Duration::from_secs(20),
            backoff: Duration::from_millis(100),
            longest_backoff: Duration::from_secs(2),
        }
    }
}

/// What the driver has to do next; it then calls [`Publisher::answer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherStep {
    /// Send the transaction.
    Commit,
    /// Read the revision counter and the change that follows the seen revision.
    ReadBack,
    /// Wait until then, and call [`Publisher::resume`].
    WaitUntil(Timestamp),
    /// The publication has ended.
    Finished(PublishOutcome),
}

/// What the service holds, read in one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The revision counter.
    pub current: Revision,
    /// The change that follows the seen revision.
    pub following: Option<Winner>,
}

/// The change that took the place of one's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Winner {
    /// Its identifier.
    pub change_id: ChangeId,
    /// Who published it.
    pub author: String,
    /// The revision that it made.
    pub revision: Revision,
}

/// How the service answered a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherAnswer {
    /// The transaction took effect.
    Committed,
    /// The transaction's condition did not hold.
    NotCommitted(Observation),
    /// The transaction may or may not have taken effect.
    Undetermined,
    /// The read succeeded.
    Read(Observation),
    /// Nothing was changed, or the read failed.
    Failed {
        /// The wait that the service asked for.
        retry_after: Duration,
    },
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change is accepted.
    Accepted {
        /// The revision that it made.
        revision: Revision,
    },
    /// Another change was accepted first; this one was not and never will be.
    Conflict {
        /// The change that was accepted in its place.
        winner: Winner,
        /// The revision now.
        current: Revision,
    },
    /// The service is at an earlier revision than the one that the operator saw; the change was
    /// not accepted. Happens only when the service lost accepted changes.
    ServiceBehind {
        /// The revision now.
        current: Revision,
    },
    /// The service did not answer in time.
    Unavailable {
        /// True when the change may have been accepted, or may yet be; the history tells by the
        /// change's identifier.
        may_be_accepted: bool,
    },
}

/// Publishes one change.
#[derive(Clone, Debug)]
pub struct Publisher {
    change: Change,
    settings: PublisherSettings,
    deadline: Timestamp,
    attempts: u32,
    in_doubt: bool,
}

impl Publisher {
    /// Publishes `change`, whose revision is one more than the one the operator saw.
    pub fn new(change: Change, settings: PublisherSettings, now: Timestamp) -> Self {
        Self {
            change,
            settings,
            deadline: now + settings.patience,
            attempts: 0,
            in_doubt: false,
        }
    }

    /// The change.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// The revision that the operator saw.
    pub fn seen(&self) -> Revision {
        Revision(self.change.revision.0.saturating_sub(1))
    }

    /// The step to take at the start and after a wait.
    pub fn resume(&self) -> PublisherStep {
        match self.in_doubt {
            true => PublisherStep::ReadBack,
            false => PublisherStep::Commit,
        }
    }

    /// Takes the service's answer and decides on the next step.
    pub fn answer(
        &mut self,
        answer: PublisherAnswer,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> PublisherStep {
        match answer {
            PublisherAnswer::Committed => self.accepted(),
            PublisherAnswer::NotCommitted(observation) => self
                .judge(observation)
                .unwrap_or_else(|| self.wait(Duration::ZERO, now, random)),
            PublisherAnswer::Undetermined => {
                self.in_doubt = true;
                self.wait(Duration::ZERO, now, random)
            }
            PublisherAnswer::Read(observation) => self
                .judge(observation)
                .unwrap_or_else(|| self.commit_again(now)),
            PublisherAnswer::Failed { retry_after } => self.wait(retry_after, now, random),
        }
    }

    fn accepted(&self) -> PublisherStep {
        PublisherStep::Finished(PublishOutcome::Accepted {
            revision: self.change.revision,
        })
    }

    /// Ends the publication if the observation decides it.
    fn judge(&self, observation: Observation) -> Option<PublisherStep> {
        let current = observation.current;
        let outcome = match observation.following {
            Some(following) if following.change_id == self.change.change_id => {
                return Some(self.accepted());
            }
            Some(winner) => PublishOutcome::Conflict { winner, current },
            None if current < self.seen() => PublishOutcome::ServiceBehind { current },
            None => return None,
        };
        Some(PublisherStep::Finished(outcome))
    }

    /// The service doesn't hold the change: an earlier transaction was lost or is still on its way.
    fn commit_again(&self, now: Timestamp) -> PublisherStep {
        match now >= self.deadline {
            true => self.give_up(),
            false => PublisherStep::Commit,
        }
    }

    fn wait(&mut self, at_least: Duration, now: Timestamp, random: &mut impl Rng) -> PublisherStep {
        let longest = self.settings.backoff * 2_u32.saturating_pow(self.attempts.min(16));
        let longest = longest.min(self.settings.longest_backoff);
        self.attempts += 1;
        let until = now + at_least + longest.mul_f64(random.random());
        match until >= self.deadline {
            true => self.give_up(),
            false => PublisherStep::WaitUntil(until),
        }
    }

    fn give_up(&self) -> PublisherStep {
        PublisherStep::Finished(PublishOutcome::Unavailable {
            may_be_accepted: self.in_doubt,
        })
    }
}
