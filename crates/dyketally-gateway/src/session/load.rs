//! Number of open sessions of this node.

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
    full: Cell<bool>,
}

impl SessionLoad {
    /// The load of a node without sessions.
    pub(super) fn new(cx: Rc<Context>) -> Rc<Self> {
        Rc::new(Self {
            capacity: cx.settings.node.capacity(),
            cx,
            open: Cell::new(0),
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
