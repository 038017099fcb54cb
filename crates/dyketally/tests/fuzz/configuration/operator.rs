//! An operator's tool: reads the current revision, then publishes one change based on it.

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

/// A request to the key-value service.
#[derive(Clone, Copy, PartialEq)]
enum Request {
    Current,
    Commit,
    ReadBack,
}

/// The request that has no reply yet.
struct PendingRequest {
    connection: ConnectionId,
    request: Request,
    sent_at: Timestamp,
}

pub struct Operator {
    place: Place,
    publisher: Option<Publisher>,
    pending: Option<PendingRequest>,
    wait_until: Option<Timestamp>,
}

impl Operator {
    pub fn new(place: Place) -> Self {
        Operator {
            place,
            publisher: None,
            pending: None,
            wait_until: None,
        }
    }

    pub fn publish(&mut self, environment: &mut Environment) {
        if self.publisher.is_none() && self.pending.is_none() {
            self.send_request(environment, Request::Current, ServiceMessage::Current);
        }
    }

    fn send_request(
        &mut self,
        environment: &mut Environment,
        request: Request,
        message: ServiceMessage,
    ) {
        let connection = environment.connect(self.place, SERVICE);
        environment.send(
            connection,
            Side::Client,
            Payload::Service(Box::new(message)),
        );
        self.pending = Some(PendingRequest {
            connection,
            request,
            sent_at: environment.now(self.place),
        });
    }

    pub fn tick(&mut self, environment: &mut Environment) {
        let now = environment.now(self.place);
        let overdue = |pending: &mut PendingRequest| pending.sent_at + ANSWER_TIMEOUT <= now;
        if let Some(pending) = self.pending.take_if(overdue) {
            environment.close(pending.connection, Side::Client);
            self.reply_lost(environment, pending.request);
        }
        if self.wait_until.take_if(|until| *until <= now).is_some()
            && let Some(publisher) = &self.publisher
        {
            let step = publisher.resume();
            self.take_step(environment, step);
        }
    }

    pub fn handle(&mut self, environment: &mut Environment, id: ConnectionId, payload: Payload) {
        let current = |pending: &mut PendingRequest| pending.connection == id;
        let Some(pending) = self.pending.take_if(current) else {
            return;
        };
        let message = match payload {
            Payload::Service(message) => *message,
            _ => return self.reply_lost(environment, pending.request),
        };
        environment.close(id, Side::Client);
        match message {
            ServiceMessage::CurrentIs(revision) => self.begin(environment, revision),
            ServiceMessage::Committed => self.answer(environment, PublisherAnswer::Committed),
            ServiceMessage::NotCommitted(seen) => {
                self.answer(environment, PublisherAnswer::NotCommitted(seen));
            }
            ServiceMessage::Observed(seen) => self.answer(environment, PublisherAnswer::Read(seen)),
            other => panic!("an operator doesn't handle {other:?}"),
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

    fn reply_lost(&mut self, environment: &mut Environment, request: Request) {
        let retry_after = Duration::ZERO;
        match request {
            Request::Current => {}
            Request::Commit if environment.has(Switch::LostReplyTakenAsRefusal) => {
                let may_be_accepted = false;
                self.finish(environment, PublishOutcome::Unavailable { may_be_accepted });
            }
            Request::Commit => self.answer(environment, PublisherAnswer::Undetermined),
            Request::ReadBack => self.answer(environment, PublisherAnswer::Failed { retry_after }),
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
                self.send_request(environment, Request::Commit, message);
            }
            PublisherStep::ReadBack => {
                let seen = publisher.seen();
                let message = ServiceMessage::ReadBack { seen };
                self.send_request(environment, Request::ReadBack, message);
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
