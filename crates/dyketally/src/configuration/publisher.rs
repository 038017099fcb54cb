//! Publishes one change to the key-value service: a state machine whose driver carries out the
//! requests to the service.
//!
//! The change is based on the revision that the operator saw. One transaction compares the revision
//! counter with that base revision and writes the new counter and the change. The transaction may be
//! sent any number of times, because the counter lets it take effect only once. When a reply is lost,
//! the publisher reads the change that follows the base revision: it is the publisher's own change,
//! another one, or doesn't exist yet.

use std::time::Duration;

use rand::Rng;

use crate::policy::Revision;
use crate::time::Timestamp;

use super::change::{Change, ChangeId};

/// Timing of a publisher's attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PublisherSettings {
    /// Time from the start until the publisher gives up.
    pub patience: Duration,
    /// Maximum of the random wait before the first retry; it doubles with each retry.
    pub backoff: Duration,
    /// Upper bound of the doubling wait.
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

/// What the driver has to do next. After a request it calls [`Publisher::answer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherStep {
    /// Send the transaction.
    Commit,
    /// Read the revision counter and the change that follows the base revision.
    ReadBack,
    /// Wait until this time, then call [`Publisher::resume`].
    WaitUntil(Timestamp),
    /// The publication has ended.
    Finished(PublishOutcome),
}

/// State of the key-value service, read in one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The revision counter.
    pub current: Revision,
    /// The change that follows the base revision, if there is one.
    pub following: Option<Winner>,
}

/// The accepted change that follows the base revision: the publisher's own or another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Winner {
    /// Identifier of the change.
    pub change_id: ChangeId,
    /// Name of the operator who published the change.
    pub author: String,
    /// The revision that the change created.
    pub revision: Revision,
}

/// Result of a request to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublisherAnswer {
    /// The transaction took effect.
    Committed,
    /// The transaction had no effect, because the revision counter had another value.
    NotCommitted(Observation),
    /// The reply was lost: the transaction may or may not have taken effect.
    Undetermined,
    /// The read succeeded.
    Read(Observation),
    /// The transaction had no effect, or the read failed.
    Failed {
        /// Wait before the next attempt that the service requested.
        retry_after: Duration,
    },
}

/// How a publication ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PublishOutcome {
    /// The change is accepted.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
    },
    /// Another change was accepted first; this one will never be accepted.
    Conflict {
        /// The change that was accepted instead.
        winner: Winner,
        /// The service's current revision.
        current: Revision,
    },
    /// The change was not accepted, because the service's revision is lower than the one that the
    /// operator saw. Happens only when the service lost accepted changes.
    ServiceBehind {
        /// The service's current revision.
        current: Revision,
    },
    /// The publisher gave up before the service answered.
    Unavailable {
        /// True when the change may have been accepted or may still be. To find out, look for its
        /// identifier in the history of the configuration.
        may_be_accepted: bool,
    },
}

/// Publishes one change to the key-value service.
#[derive(Clone, Debug)]
pub struct Publisher {
    change: Change,
    settings: PublisherSettings,
    deadline: Timestamp,
    attempts: u32,
    /// A transaction was sent whose effect is unknown.
    in_doubt: bool,
}

impl Publisher {
    /// A publisher of `change`, whose revision is one more than the one that the operator saw.
    pub fn new(change: Change, settings: PublisherSettings, now: Timestamp) -> Self {
        Self {
            change,
            settings,
            deadline: now + settings.patience,
            attempts: 0,
            in_doubt: false,
        }
    }

    /// The change to be published.
    pub fn change(&self) -> &Change {
        &self.change
    }

    /// The base revision of the change: the one that the operator saw.
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

    /// Evaluates the service's answer and returns the next step.
    pub fn answer(
        &mut self,
        answer: PublisherAnswer,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> PublisherStep {
        match answer {
            PublisherAnswer::Committed => self.accepted(),
            PublisherAnswer::NotCommitted(observation) => self
                .evaluate(observation)
                .unwrap_or_else(|| self.wait(Duration::ZERO, now, random)),
            PublisherAnswer::Undetermined => {
                self.in_doubt = true;
                self.wait(Duration::ZERO, now, random)
            }
            PublisherAnswer::Read(observation) => self
                .evaluate(observation)
                .unwrap_or_else(|| self.commit_again(now)),
            PublisherAnswer::Failed { retry_after } => self.wait(retry_after, now, random),
        }
    }

    fn accepted(&self) -> PublisherStep {
        PublisherStep::Finished(PublishOutcome::Accepted {
            revision: self.change.revision,
        })
    }

    /// The end of the publication, if `observation` decides it.
    fn evaluate(&self, observation: Observation) -> Option<PublisherStep> {
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

    /// Sends the transaction once more: the service doesn't hold the change, so an earlier transaction
    /// was lost or is still in transit.
    fn commit_again(&self, now: Timestamp) -> PublisherStep {
        match now >= self.deadline {
            true => self.give_up(),
            false => PublisherStep::Commit,
        }
    }

    /// Waits for `at_least` and a random backoff, or gives up if that would exceed the deadline.
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
