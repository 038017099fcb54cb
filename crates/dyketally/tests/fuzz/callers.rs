//! Callers: each sends one request at a time and may move to another node, with or without its session token.

use std::time::Duration;

use dyketally::history::{
    Entry, Event, Key, LookupAnswer, LookupBegan, LookupEnded, RequestNumber, SessionName,
    WriteBegan, WriteEnded, WriteOutcome,
};
use dyketally::policy::Repeat;
use dyketally::session::SessionToken;
use dyketally::time::Timestamp;

use crate::edge::{Call, CallKind};
use crate::environment::{Environment, NODES, Place};
use crate::messages::{ClientAnswer, ClientMessage};

pub const CALLERS: usize = 4;
/// A caller closes its connection when a request has had no answer for this long.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(700);

struct Busy {
    call: Call,
    since: Timestamp,
}

pub struct Caller {
    number: usize,
    /// The node that the caller is connected to.
    pub node: Place,
    /// Number of the caller's current connection.
    connection: u64,
    token: Option<SessionToken>,
    busy: Option<Busy>,
    /// Keys of the caller's acknowledged writes, oldest first.
    pub acknowledged_keys: Vec<Key>,
    /// The last write that was answered as not run.
    not_run_write: Option<CallKind>,
    /// Count of lookups that failed.
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
            acknowledged_keys: Vec::new(),
            not_run_write: None,
            failed_lookups: 0,
        }
    }

    pub fn is_busy(&self) -> bool {
        self.busy.is_some()
    }

    fn session(&self) -> SessionName {
        SessionName(format!("session-{}", self.number))
    }

    /// Records the start of a request in the history; the world delivers the returned call to the caller's node.
    pub fn begin(&mut self, environment: &mut Environment, kind: CallKind) -> Call {
        let request = RequestNumber(environment.unique());
        environment.record(match &kind {
            CallKind::Lookup { key } => Event::LookupBegan(LookupBegan {
                request,
                session: self.session(),
                key: key.clone(),
            }),
            CallKind::Write { entries, repeat } => self.write_began(request, entries, *repeat),
            CallKind::Transaction { entries } => self.write_began(request, entries, Repeat::Never),
        });
        let call = Call {
            client: self.number,
            connection: self.connection,
            request,
            token: self.token.clone(),
            kind,
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

    /// Takes the last write that was answered as not run, to send it again.
    pub fn take_not_run_write(&mut self) -> Option<CallKind> {
        self.not_run_write.take()
    }

    /// Handles an answer; returns true if the caller should connect to another node.
    pub fn handle_answer(&mut self, environment: &mut Environment, message: ClientMessage) -> bool {
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
        let lookup = matches!(call.kind, CallKind::Lookup { .. });
        let answer = match answer {
            ClientAnswer::GoElsewhere if lookup => ClientAnswer::Lookup(LookupAnswer::Failed),
            ClientAnswer::GoElsewhere => ClientAnswer::Write(WriteOutcome::NotRun),
            other => other,
        };
        match answer {
            ClientAnswer::Write(outcome) => {
                environment.record(Event::WriteEnded(WriteEnded { request, outcome }));
                self.record_outcome(call.kind, outcome);
            }
            ClientAnswer::Lookup(answer) => {
                self.failed_lookups += usize::from(answer == LookupAnswer::Failed);
                environment.record(Event::LookupEnded(LookupEnded { request, answer }));
            }
            ClientAnswer::GoElsewhere => {}
        }
    }

    fn record_outcome(&mut self, kind: CallKind, outcome: WriteOutcome) {
        let entries = match &kind {
            CallKind::Lookup { .. } => return,
            CallKind::Write { entries, .. } | CallKind::Transaction { entries } => entries,
        };
        match outcome {
            WriteOutcome::Acknowledged => {
                let keys = entries.iter().map(|entry| entry.key.clone());
                self.acknowledged_keys.extend(keys);
            }
            WriteOutcome::Unknown => {}
            WriteOutcome::NotRun => self.not_run_write = Some(kind),
        }
    }

    /// Ends the caller's connection: a lookup in flight fails, a write in flight has an unknown outcome.
    pub fn hang_up(&mut self, environment: &mut Environment) {
        self.connection += 1;
        let Some(busy) = self.busy.take() else {
            return;
        };
        let answer = match busy.call.kind {
            CallKind::Lookup { .. } => ClientAnswer::Lookup(LookupAnswer::Failed),
            _ => ClientAnswer::Write(WriteOutcome::Unknown),
        };
        self.end(environment, busy.call, answer);
    }

    pub fn forget_token(&mut self) {
        self.token = None;
    }

    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.busy
            .as_ref()
            .is_some_and(|busy| busy.since + REQUEST_TIMEOUT <= now)
    }
}
