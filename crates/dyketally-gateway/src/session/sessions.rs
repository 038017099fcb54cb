//! How many sessions this node has open, and how much input they keep.

use std::cell::Cell;
use std::rc::Rc;

use dyketally::capacity::{Capacity, SessionVerdict};

use crate::event::Event;
use crate::gateway::Gateway;

/// The sessions of this node against what it can hold.
#[derive(Debug)]
pub struct Sessions {
    capacity: Capacity,
    open: Cell<u32>,
    /// Bytes of input that isn't a whole message yet.
    buffered: Rc<Cell<u64>>,
    full: Cell<bool>,
}

impl Sessions {
    /// None yet, on a node with `capacity`.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            open: Cell::new(0),
            buffered: Rc::default(),
            full: Cell::new(false),
        }
    }

    /// How many are open, those that are being refused included.
    pub fn open(&self) -> usize {
        self.open.get() as usize
    }

    /// What becomes of one more.
    pub fn judge(&self) -> SessionVerdict {
        self.capacity.judge(self.open.get())
    }

    /// True while no further ones should come.
    pub fn is_full(&self) -> bool {
        self.full.get()
    }

    /// Takes in that so many are open; true if that changes whether further ones should come.
    fn set_open(&self, open: u32) -> bool {
        self.open.set(open);
        let full = self.capacity.is_full(open, self.full.get());
        full != self.full.replace(full)
    }
}

/// A session that counts as open until this is dropped.
pub(super) struct OpenSession(Rc<Gateway>);

impl OpenSession {
    /// Counts one more.
    pub(super) fn begin(gateway: &Rc<Gateway>) -> Self {
        let session = Self(gateway.clone());
        session.count(gateway.sessions.open.get() + 1);
        session
    }

    fn count(&self, open: u32) {
        let Self(gateway) = self;
        if gateway.sessions.set_open(open) {
            let full = gateway.sessions.is_full();
            gateway.cx.events.write(&Event::SessionsFull { full, open });
        }
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        self.count(self.0.sessions.open.get() - 1);
    }
}

/// The input that one caller's connection keeps, given back when this is dropped.
pub(super) struct Buffered {
    own: u64,
    all: Rc<Cell<u64>>,
    limit: Option<u64>,
}

impl Buffered {
    /// Nothing yet.
    pub(super) fn none(gateway: &Gateway) -> Self {
        Self {
            own: 0,
            all: gateway.sessions.buffered.clone(),
            limit: gateway.sessions.capacity.input_bytes(),
        }
    }

    /// Takes in how many bytes are kept now.
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

impl Drop for Buffered {
    fn drop(&mut self) {
        self.set(0);
    }
}
