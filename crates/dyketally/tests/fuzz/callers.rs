//! Callers: one request at a time, roaming with or without their token.

use std::time::Duration;

use dyketally::history::{
    Entry, Event, Key, LookupAnswer, LookupBegan, LookupEnded, RequestNumber, SessionName,
    WriteBegan, WriteEnded, WriteOutcome,
};
use dyketally::policy::Repeat;
use dyketally::session::SessionToken;
use dyketally::time::Timestamp;

use crate::edge::{Call, Wish};
use crate::environment::{Environment, NODES, Place};
use crate::messages::{ClientAnswer, ClientMessage};

pub const CALLERS: usize = 4;
/// A caller hangs up when it got no answer for so long.
const PATIENCE: Duration = Duration::from_millis(700);

struct Busy {
    call: Call,
    since: Timestamp,
}

pub struct Caller {
    number: usize,
    pub node: Place,
    connection: u64,
    token: Option<SessionToken>,
    busy: Option<Busy>,
    /// Keys of its acknowledged writes.
    pub own: Vec<Key>,
    /// Its last write that was told not-run.
    again: Option<Wish>,
    pub failed_lookups: usize,
}

impl Caller {
    pub fn new(number: usize) -> Self {
        Caller {
            number,
            node: number % NODES,
            connection: 0,
            token: None,
            busy: None,
            own: Vec::new(),
            again: None,
            failed_lookups: 0,
        }
    }

    pub fn is_busy(&self) -> bool {
        self.busy.is_some()
    }

    fn session(&self) -> SessionName {
        SessionName(format!("session-{}", self.number))
    }

    /// Records the request; the world hands the call to the caller's node.
    pub fn begin(&mut self, environment: &mut Environment, wish: Wish) -> Call {
        let request = RequestNumber(environment.unique());
        environment.record(match &wish {
            Wish::Lookup { key } => Event::LookupBegan(LookupBegan {
                request,
                session: self.session(),
                key: key.clone(),
            }),
            Wish::Write { entries, repeat } => self.write_began(request, entries, *repeat),
            Wish::Transaction { entries } => self.write_began(request, entries, Repeat::Never),
        });
        let call = Call {
            client: self.number,
            connection: self.connection,
            request,
            token: self.token.clone(),
            wish,
        };
        self.busy = Some(Busy {
            call: call.clone(),
            since: environment.world_time(),
        });
        call
    }

    fn write_began(&self, request: RequestNumber, entries: &[Entry], repeat: Repeat) -> Event {
        Event::WriteBegan(WriteBegan {
            request,
            session: self.session(),
            entries: entries.to_vec(),
            repeat,
        })
    }

    pub fn new_entries(environment: &mut Environment, count: usize) -> Vec<Entry> {
        let entry = |number: u64| Entry {
            key: Key(format!("key-{number}")),
            value: format!("value-{number}"),
        };
        (0..count).map(|_| entry(environment.unique())).collect()
    }

    /// The write to send again, if there is one.
    pub fn take_again(&mut self) -> Option<Wish> {
        self.again.take()
    }

    /// Takes a message; true if the caller should connect elsewhere.
    pub fn take(&mut self, environment: &mut Environment, message: ClientMessage) -> bool {
        let current = message.connection == self.connection;
        let busy = self
            .busy
            .take_if(|busy| current && busy.call.request == message.request);
        let Some(busy) = busy else {
            return false;
        };
        self.token = message.token;
        self.end(environment, busy.call, message.answer.clone());
        matches!(message.answer, ClientAnswer::GoElsewhere)
    }

    fn end(&mut self, environment: &mut Environment, call: Call, answer: ClientAnswer) {
        let request = call.request;
        let lookup = matches!(call.wish, Wish::Lookup { .. });
        let answer = match answer {
            ClientAnswer::GoElsewhere if lookup => ClientAnswer::Lookup(LookupAnswer::Failed),
            ClientAnswer::GoElsewhere => ClientAnswer::Write(WriteOutcome::NotRun),
            other => other,
        };
        match answer {
            ClientAnswer::Write(outcome) => {
                environment.record(Event::WriteEnded(WriteEnded { request, outcome }));
                self.note_outcome(call.wish, outcome);
            }
            ClientAnswer::Lookup(answer) => {
                self.failed_lookups += usize::from(answer == LookupAnswer::Failed);
                environment.record(Event::LookupEnded(LookupEnded { request, answer }));
            }
            ClientAnswer::GoElsewhere => {}
        }
    }

    fn note_outcome(&mut self, wish: Wish, outcome: WriteOutcome) {
        let entries = match &wish {
            Wish::Lookup { .. } => return,
            Wish::Write { entries, .. } | Wish::Transaction { entries } => entries,
        };
        match outcome {
            WriteOutcome::Acknowledged => {
                let keys = entries.iter().map(|entry| entry.key.clone());
                self.own.extend(keys);
            }
            WriteOutcome::Unknown => {}
            WriteOutcome::NotRun => self.again = Some(wish),
        }
    }

    /// The connection is gone; what was under way is of unknown outcome.
    pub fn hang_up(&mut self, environment: &mut Environment) {
        self.connection += 1;
        let Some(busy) = self.busy.take() else {
            return;
        };
        let answer = match busy.call.wish {
            Wish::Lookup { .. } => ClientAnswer::Lookup(LookupAnswer::Failed),
            _ => ClientAnswer::Write(WriteOutcome::Unknown),
        };
        self.end(environment, busy.call, answer);
    }

    pub fn forget_token(&mut self) {
        self.token = None;
    }

    pub fn lost_patience(&self, now: Timestamp) -> bool {
        self.busy
            .as_ref()
            .is_some_and(|busy| busy.since + PATIENCE <= now)
    }
}
