//! Number of open sessions of this node, and the size of their buffered input.

use std::cell::Cell;
use std::rc::Rc;

use dyketally::capacity::{Capacity, SessionVerdict};

use crate::context::Context;
use crate::event::Event;

/// The open sessions of this node, compared with its capacity.
pub(super) struct SessionLoad {
    cx: Rc<Context>,
    capacity: Capacity,
    open: Cell<u32>,
    /// Bytes of incomplete messages, over all callers.
    buffered: Rc<Cell<u64>>,
    full: Cell<bool>,
}

impl SessionLoad {
    /// The load of a node without sessions.
    pub(super) fn new(cx: Rc<Context>) -> Rc<Self> {
        Rc::new(Self {
            capacity: cx.settings.node.capacity(),
            cx,
            open: Cell::new(0),
            buffered: Rc::default(),
            full: Cell::new(false),
        })
    }

    /// Number of open sessions, including those that are being refused.
    pub(super) fn open(&self) -> usize {
        self.open.get() as usize
    }

    /// What to do with one more session.
    pub(super) fn evaluate_next(&self) -> SessionVerdict {
        self.capacity.judge(self.open.get())
    }

    /// True while this node should get no new sessions.
    pub(super) fn is_full(&self) -> bool {
        self.full.get()
    }

    /// Sets the number of open sessions; returns true if that changes whether the node should get new ones.
    fn set_open(&self, open: u32) -> bool {
        self.open.set(open);
        let full = self.capacity.is_full(open, self.full.get());
        full != self.full.replace(full)
    }
}

/// Counts as an open session until it is dropped.
pub(super) struct OpenSession(Rc<SessionLoad>);

impl OpenSession {
    /// Counts one more open session.
    pub(super) fn begin(load: &Rc<SessionLoad>) -> Self {
        let session = Self(load.clone());
        session.count(load.open.get() + 1);
        session
    }

    fn count(&self, open: u32) {
        let Self(load) = self;
        if load.set_open(open) {
            let full = load.is_full();
            load.cx.events.write(&Event::SessionsFull { full, open });
        }
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.count(self.0.open.get() - 1);
    }
}

/// Size of one connection's buffered input; no longer counted once this is dropped.
pub(super) struct BufferedInput {
    own: u64,
    all: Rc<Cell<u64>>,
    limit: Option<u64>,
}

impl BufferedInput {
    /// A connection without buffered input.
    pub(super) fn none(load: &SessionLoad) -> Self {
        Self {
            own: 0,
            all: load.buffered.clone(),
            limit: load.capacity.input_bytes(),
        }
    }

    /// Sets the number of buffered bytes.
    pub(super) fn set(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.all.set(self.all.get() - self.own + bytes);
        self.own = bytes;
    }

    /// True while the input of all connections together is within the limit, or this connection has none.
    pub(super) fn fits(&self) -> bool {
        self.own == 0 || self.limit.is_none_or(|limit| self.all.get() <= limit)
    }
}

impl Drop for BufferedInput {
    fn drop(&mut self) {
        self.set(0);
    }
}
