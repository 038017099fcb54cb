//! Records what callers were told, for the history checker and for measurements.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use dyketally::history::{
    Entry, Event, Key, LookupAnswer, LookupBegan, LookupEnded, RequestNumber, SessionName,
    WriteBegan, WriteEnded, WriteOutcome,
};
use dyketally::policy::Repeat;

use super::reply::Reply;

/// What a request was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestKind {
    /// A write.
    Write,
    /// A lookup.
    Lookup,
}

/// How a request ended, as far as the caller knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SampleOutcome {
    /// It was answered.
    Done,
    /// It was not run.
    NotRun,
    /// It may have been run.
    Unknown,
    /// The transaction was rolled back.
    RolledBack,
    /// It was refused with an error.
    Refused,
}

/// One request as it was measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// What it was.
    pub kind: RequestKind,
    /// How it ended.
    pub outcome: SampleOutcome,
    /// When it was sent, since the recorder's start.
    pub began: Duration,
    /// When it ended, since the recorder's start.
    pub ended: Duration,
}

/// A request that waits for its reply.
#[derive(Debug)]
#[must_use = "a request that is not ended counts as never answered"]
pub struct OpenRequest {
    number: RequestNumber,
    began: Duration,
}

/// Keeps the events of a run in the order in which they happened.
#[derive(Debug)]
pub struct Recorder {
    started: Instant,
    record: Mutex<Record>,
}

#[derive(Debug, Default)]
struct Record {
    requests: u64,
    events: Vec<Event>,
    samples: Vec<Sample>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            record: Mutex::default(),
        }
    }
}

impl Recorder {
    /// Time since the recorder's start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// A write is about to be sent.
    pub fn write_begins(&self, session: &str, entries: Vec<Entry>) -> OpenRequest {
        let began = self.now();
        let mut record = self.lock();
        let number = record.next_request();
        record.events.push(Event::WriteBegan(WriteBegan {
            request: number,
            session: SessionName(session.to_owned()),
            entries,
            repeat: Repeat::Never,
        }));
        OpenRequest { number, began }
    }

    /// A write's reply came.
    pub fn write_ends<T>(&self, open: OpenRequest, reply: &Reply<T>) {
        let (outcome, sampled) = match reply {
            Reply::Done(_) => (WriteOutcome::Acknowledged, SampleOutcome::Done),
            Reply::Unknown => (WriteOutcome::Unknown, SampleOutcome::Unknown),
            Reply::NotRun { .. } | Reply::NotConnected { .. } => {
                (WriteOutcome::NotRun, SampleOutcome::NotRun)
            }
            Reply::RolledBack => (WriteOutcome::NotRun, SampleOutcome::RolledBack),
            Reply::Refused { .. } => (WriteOutcome::NotRun, SampleOutcome::Refused),
        };
        let event = Event::WriteEnded(WriteEnded {
            request: open.number,
            outcome,
        });
        self.end(&open, RequestKind::Write, sampled, event);
    }

    /// A lookup is about to be sent.
    pub fn lookup_begins(&self, session: &str, key: &str) -> OpenRequest {
        let began = self.now();
        let mut record = self.lock();
        let number = record.next_request();
        record.events.push(Event::LookupBegan(LookupBegan {
            request: number,
            session: SessionName(session.to_owned()),
            key: Key(key.to_owned()),
        }));
        OpenRequest { number, began }
    }

    /// A lookup's reply came.
    pub fn lookup_ends(&self, open: OpenRequest, answer: LookupAnswer) {
        let sampled = match answer {
            LookupAnswer::Found(_) | LookupAnswer::Absent => SampleOutcome::Done,
            LookupAnswer::Failed => SampleOutcome::NotRun,
        };
        let event = Event::LookupEnded(LookupEnded {
            request: open.number,
            answer,
        });
        self.end(&open, RequestKind::Lookup, sampled, event);
    }

    /// Adds an event of another source.
    pub fn push(&self, event: Event) {
        self.lock().events.push(event);
    }

    /// The events so far.
    pub fn events(&self) -> Vec<Event> {
        self.lock().events.clone()
    }

    /// The measured requests so far, in the order in which they ended.
    pub fn samples(&self) -> Vec<Sample> {
        self.lock().samples.clone()
    }

    fn end(&self, open: &OpenRequest, kind: RequestKind, outcome: SampleOutcome, event: Event) {
        let sample = Sample {
            kind,
            outcome,
            began: open.began,
            ended: self.now(),
        };
        let mut record = self.lock();
        record.events.push(event);
        record.samples.push(sample);
    }

    fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Record {
    fn next_request(&mut self) -> RequestNumber {
        self.requests += 1;
        RequestNumber(self.requests)
    }
}
