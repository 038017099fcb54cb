//! How many sessions this node has open, and how much input they keep.

use std::cell::Cell;
use std::rc::Rc;

use dyketally::capacity::{Capacity, SessionVerdict};

use crate::context::Context;
use crate::event::Event;

/// The sessions of this node against what it can hold.
pub(super) struct SessionLoad {
    cx: Rc<Context>,
    capacity: Capacity,
    open: Cell<u32>,
    /// Bytes of input that isn't a whole message yet.
    buffered: Rc<Cell<u64>>,
    full: Cell<bool>,
}

impl SessionLoad {
    /// No sessions yet.
    pub(super) fn new(cx: Rc<Context>) -> Rc<Self> {
        Rc::new(Self {
            capacity: cx.settings.node.capacity(),
            cx,
            open: Cell::new(0),
            buffered: Rc::default(),
            full: Cell::new(false),
        })
    }

    /// How many are open, those that are being refused included.
    pub(super) fn open(&self) -> usize {
        self.open.get() as usize
    }

    /// What becomes of one more.
    pub(super) fn evaluate_next(&self) -> SessionVerdict {
        self.capacity.judge(self.open.get())
    }

    /// True while no further ones should come.
    pub(super) fn is_full(&self) -> bool {
        self.full.get()
    }

    /// Sets how many are open; true if that changes whether further ones should come.
    fn set_open(&self, open: u32) -> bool {
        self.open.set(open);
        let full = self.capacity.is_full(open, self.full.get());
        full != self.full.replace(full)
    }
}

/// A session that counts as open until this is dropped.
pub(super) struct OpenSession(Rc<SessionLoad>);

impl OpenSession {
    /// Counts one more.
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

/// The input that one caller's connection keeps, given back when this is dropped.
pub(super) struct BufferedInput {
    own: u64,
    all: Rc<Cell<u64>>,
    limit: Option<u64>,
}

impl BufferedInput {
    /// Nothing yet.
    pub(super) fn none(load: &SessionLoad) -> Self {
        Self {
            own: 0,
            all: load.buffered.clone(),
            limit: load.capacity.input_bytes(),
        }
    }

    /// Sets how many bytes are kept now.
    pub(super) fn set(&mut self, bytes: usize) {
        let bytes = bytes as u64;
        self.all.set(self.all.get() - self.own + bytes);
        self.own = bytes;
    }

    /// True while all connections together keep no more than they may, or this one keeps nothing.
    pub(super) fn fits(&self) -> bool {
        self.own == 0 || self.limit.is_none_or(|limit| self.all.get() <= limit)
    }
}

impl Drop for BufferedInput {
    fn drop(&mut self) {
        self.set(0);
    }
}
