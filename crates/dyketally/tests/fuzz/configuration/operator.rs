//! An operator's tool: reads the revision, then publishes one change on it.

use std::time::Duration;

use dyketally::configuration::{
    Change, ChangeId, PublishOutcome, Publisher, PublisherAnswer, PublisherSettings, PublisherStep,
    UnixMillis,
};
use dyketally::history::Event;
use dyketally::policy::Revision;
use dyketally::time::Timestamp;

use super::{ServiceMessage, digest_of_change, edit};
use crate::environment::{ConnectionId, Environment, Place, SERVICE, Side};
use crate::messages::Payload;
use crate::switches::Switch;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
const SETTINGS: PublisherSettings = PublisherSettings {
    patience: Duration::from_millis(600),
    backoff: Duration::from_millis(5),
    longest_backoff: Duration::from_millis(40),
};

#[derive(Clone, Copy, PartialEq)]
enum Asked {
    Current,
    Commit,
    ReadBack,
}

struct Question {
    connection: ConnectionId,
    asked: Asked,
    at: Timestamp,
}

pub struct Operator {
    place: Place,
    publisher: Option<Publisher>,
    question: Option<Question>,
    wait_until: Option<Timestamp>,
}

impl Operator {
    pub fn new(place: Place) -> Self {
        Operator {
            place,
            publisher: None,
            question: None,
            wait_until: None,
        }
    }

    pub fn publish(&mut self, environment: &mut Environment) {
        if self.publisher.is_none() && self.question.is_none() {
            self.ask(environment, Asked::Current, ServiceMessage::Current);
        }
    }

    fn ask(&mut self, environment: &mut Environment, asked: Asked, message: ServiceMessage) {
        let connection = environment.connect(self.place, SERVICE);
        environment.send(
            connection,
            Side::Client,
            Payload::Service(Box::new(message)),
        );
        self.question = Some(Question {
            connection,
            asked,
            at: environment.now(self.place),
        });
    }

    pub fn tick(&mut self, environment: &mut Environment) {
        let now = environment.now(self.place);
        let overdue = |question: &mut Question| question.at + ANSWER_TIMEOUT <= now;
        if let Some(question) = self.question.take_if(overdue) {
            environment.close(question.connection, Side::Client);
            self.lost(environment, question.asked);
        }
        if self.wait_until.take_if(|until| *until <= now).is_some()
            && let Some(publisher) = &self.publisher
        {
            let step = publisher.resume();
            self.take_step(environment, step);
        }
    }

    pub fn handle(&mut self, environment: &mut Environment, id: ConnectionId, payload: Payload) {
        let current = |question: &mut Question| question.connection == id;
        let Some(question) = self.question.take_if(current) else {
            return;
        };
        let message = match payload {
            Payload::Service(message) => *message,
            _ => return self.lost(environment, question.asked),
        };
        environment.close(id, Side::Client);
        match message {
            ServiceMessage::CurrentIs(revision) => self.begin(environment, revision),
            ServiceMessage::Committed => self.answer(environment, PublisherAnswer::Committed),
            ServiceMessage::NotCommitted(seen) => {
                self.answer(environment, PublisherAnswer::NotCommitted(seen));
            }
            ServiceMessage::Observed(seen) => self.answer(environment, PublisherAnswer::Read(seen)),
            other => panic!("not for an operator: {other:?}"),
        }
    }

    fn begin(&mut self, environment: &mut Environment, seen: Revision) {
        let change_id = ChangeId::random(&mut environment.random);
        let change = Change {
            revision: Revision(seen.0 + 1),
            change_id,
            author: format!("operator-{}", self.place),
            published_at: UnixMillis::default(),
            edits: vec![edit(change_id.to_string())],
        };
        let publisher = Publisher::new(change, SETTINGS, environment.now(self.place));
        let step = publisher.resume();
        self.publisher = Some(publisher);
        self.take_step(environment, step);
    }

    fn lost(&mut self, environment: &mut Environment, asked: Asked) {
        let retry_after = Duration::ZERO;
        match asked {
            Asked::Current => {}
            Asked::Commit if environment.has(Switch::LostReplyTakenAsRefusal) => {
                let may_be_accepted = false;
                self.finish(environment, PublishOutcome::Unavailable { may_be_accepted });
            }
            Asked::Commit => self.answer(environment, PublisherAnswer::Undetermined),
            Asked::ReadBack => self.answer(environment, PublisherAnswer::Failed { retry_after }),
        }
    }

    fn answer(&mut self, environment: &mut Environment, answer: PublisherAnswer) {
        let now = environment.now(self.place);
        if let Some(publisher) = &mut self.publisher {
            let step = publisher.answer(answer, now, &mut environment.random);
            self.take_step(environment, step);
        }
    }

    fn take_step(&mut self, environment: &mut Environment, step: PublisherStep) {
        let Some(publisher) = &self.publisher else {
            return;
        };
        match step {
            PublisherStep::Commit => {
                let message = ServiceMessage::Commit(publisher.change().clone());
                self.ask(environment, Asked::Commit, message);
            }
            PublisherStep::ReadBack => {
                let seen = publisher.seen();
                let message = ServiceMessage::ReadBack { seen };
                self.ask(environment, Asked::ReadBack, message);
            }
            PublisherStep::WaitUntil(until) => self.wait_until = Some(until),
            PublisherStep::Finished(outcome) => self.finish(environment, outcome),
        }
    }

    fn finish(&mut self, environment: &mut Environment, outcome: PublishOutcome) {
        let Some(publisher) = self.publisher.take() else {
            return;
        };
        let digest = digest_of_change(publisher.change());
        match outcome {
            PublishOutcome::Accepted { revision } => {
                environment.record(Event::Accepted { revision, digest });
            }
            PublishOutcome::Unavailable {
                may_be_accepted: true,
            } => {}
            _ => environment.record(Event::Refused { digest }),
        }
    }
}
