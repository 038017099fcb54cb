//! Simulated operators who publish changes, and the results that they got.

use std::sync::Arc;

use dyketally::configuration::{
    Change, ChangeId, PublishOutcome, Publisher, PublisherAnswer, PublisherSettings, PublisherStep,
    UnixMillis,
};
use dyketally::policy::Revision;
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::service::Service;
use super::{OPERATORS, RequestFate};
use crate::sample::{change_id, put};

/// Few names, so that changes touch the same documents.
const TENANTS: u64 = 5;

struct Running {
    publisher: Publisher,
    step: PublisherStep,
}

/// One ended publication.
struct Ended {
    change_id: ChangeId,
    outcome: PublishOutcome,
}

pub struct Operators {
    running: [Option<Running>; OPERATORS],
    ended: Vec<Ended>,
    published: u64,
    random: StdRng,
}

impl Operators {
    pub fn new() -> Self {
        Self {
            running: Default::default(),
            ended: Vec::new(),
            published: 0,
            random: StdRng::seed_from_u64(1),
        }
    }

    /// Begins a publication unless the operator is busy.
    pub fn publish(&mut self, operator: usize, seen: u64, now: Timestamp) {
        if self.running[operator].is_some() {
            return;
        }
        self.published += 1;
        let number = self.published;
        let change = Change {
            revision: Revision(seen + 1),
            change_id: change_id(number),
            author: format!("operator {operator}"),
            published_at: UnixMillis(0),
            edits: vec![put(
                &format!("tenant-{}", number % TENANTS),
                &number.to_string(),
            )],
        };
        let publisher = Publisher::new(change, PublisherSettings::default(), now);
        let step = publisher.resume();
        self.running[operator] = Some(Running { publisher, step });
    }

    /// Lets the operator's tool take its next step; `fate` is what becomes of its request.
    pub fn step(
        &mut self,
        operator: usize,
        fate: RequestFate,
        service: &mut Service,
        now: Timestamp,
    ) {
        let Some(Running { publisher, step }) = &mut self.running[operator] else {
            return;
        };
        let answer = match step {
            PublisherStep::WaitUntil(until) if now < *until => return,
            PublisherStep::WaitUntil(_) => {
                *step = publisher.resume();
                return;
            }
            PublisherStep::Commit => {
                let change = Arc::new(publisher.change().clone());
                commit(&change, fate, service)
            }
            PublisherStep::ReadBack => read_back(publisher.seen().0, fate, service),
            PublisherStep::Finished(_) => unreachable!("ended publications are removed"),
        };
        *step = publisher.answer(answer, now, &mut self.random);
        if let PublisherStep::Finished(outcome) = step {
            let ended = Ended {
                change_id: publisher.change().change_id,
                outcome: outcome.clone(),
            };
            self.ended.push(ended);
            self.running[operator] = None;
        }
    }

    /// Asserts that no operator got a result that the list of accepted changes contradicts.
    pub fn check(&self, service: &Service) {
        for number in 1..=self.published {
            let accepted = service.revisions_of(change_id(number));
            assert!(
                accepted.len() <= 1,
                "change {number} was accepted as {accepted:?}"
            );
        }
        for Ended { change_id, outcome } in &self.ended {
            let accepted = service.revisions_of(*change_id);
            match outcome {
                PublishOutcome::Accepted { revision } => assert_eq!(accepted, [*revision]),
                PublishOutcome::Conflict { winner, .. } => {
                    assert!(
                        accepted.is_empty(),
                        "a change that was reported as superseded by {winner:?} was accepted"
                    );
                    assert_eq!(service.revisions_of(winner.change_id), [winner.revision]);
                }
                PublishOutcome::ServiceBehind { .. } => panic!("the service never loses changes"),
                PublishOutcome::Unavailable { may_be_accepted } => {
                    assert!(
                        *may_be_accepted || accepted.is_empty(),
                        "a change that was reported as not accepted was accepted"
                    );
                }
            }
        }
    }
}

fn commit(change: &Arc<Change>, fate: RequestFate, service: &mut Service) -> PublisherAnswer {
    if service.down {
        return failed();
    }
    match fate {
        RequestFate::Answered => service.commit(change),
        RequestFate::RateLimited => failed(),
        RequestFate::RequestLost => PublisherAnswer::Undetermined,
        RequestFate::ReplyLost => {
            service.commit(change);
            PublisherAnswer::Undetermined
        }
        RequestFate::Delayed => {
            service.delay(change.clone());
            PublisherAnswer::Undetermined
        }
    }
}

fn read_back(seen: u64, fate: RequestFate, service: &Service) -> PublisherAnswer {
    match fate {
        RequestFate::Answered if !service.down => PublisherAnswer::Read(service.observe(seen)),
        _ => failed(),
    }
}

fn failed() -> PublisherAnswer {
    PublisherAnswer::Failed {
        retry_after: std::time::Duration::ZERO,
    }
}
