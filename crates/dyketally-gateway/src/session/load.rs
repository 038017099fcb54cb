//! Number of open sessions of this node, and which of them can be closed to make room.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::capacity::{Capacity, SessionVerdict};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::context::{Context, Limit};
use crate::decision::make_room::{self, Stillness};
use crate::event::Event;

/// Pause between two attempts of a full node to get ready again.
const MAKE_READY_PAUSE: Duration = Duration::from_millis(250);

/// The open sessions of this node, compared with its capacity.
pub(super) struct SessionLoad {
    cx: Rc<Context>,
    capacity: Capacity,
    open: Cell<u32>,
    /// Sessions that were told to close and haven't done so yet.
    closing: Cell<u32>,
    /// When a session was closed for a new one.
    last_closing: Cell<Option<Instant>>,
    full: Cell<bool>,
    next_number: Cell<u64>,
    /// The sessions that wait for their callers, by kind and in the order in which they began to wait.
    still: [RefCell<StillSessions>; Stillness::ALL.len()],
}

type StillSessions = BTreeMap<(Instant, u64), Rc<Notify>>;

impl SessionLoad {
    /// The load of a node without sessions.
    pub(super) fn new(cx: Rc<Context>) -> Rc<Self> {
        Rc::new(Self {
            capacity: cx.settings.node.capacity(),
            cx,
            open: Cell::new(0),
            closing: Cell::new(0),
            last_closing: Cell::new(None),
            full: Cell::new(false),
            next_number: Cell::new(0),
            still: Default::default(),
        })
    }

    /// Number of open sessions, including those that are being refused.
    pub(super) fn open(&self) -> usize {
        self.open.get() as usize
    }

    /// What to do with one more session. Closes another one if that makes room.
    pub(super) fn evaluate_next(&self) -> SessionVerdict {
        let verdict = self.capacity.judge(self.open.get() - self.closing.get());
        if verdict == SessionVerdict::Serve {
            return verdict;
        }
        let now = Instant::now();
        if make_room::may_close_another(self.last_closing.get(), now) && self.close_one(|_| true) {
            self.last_closing.set(Some(now));
            return SessionVerdict::Serve;
        }
        verdict
    }

    /// True while this node should get no new sessions.
    pub(super) fn is_full(&self) -> bool {
        self.full.get()
    }

    fn still(&self, stillness: Stillness) -> &RefCell<StillSessions> {
        &self.still[stillness as usize]
    }

    /// Tells a session to close that has been still for long enough and whose kind `may_close`; false if there is none.
    fn close_one(&self, may_close: impl Fn(Stillness) -> bool) -> bool {
        let now = Instant::now();
        for stillness in Stillness::ALL.into_iter().filter(|kind| may_close(*kind)) {
            let mut sessions = self.still(stillness).borrow_mut();
            let Some(longest) = sessions.first_entry() else {
                continue;
            };
            let (since, _) = longest.key();
            if now < *since + stillness.protection() {
                continue;
            }
            longest.remove().notify_one();
            self.closing.set(self.closing.get() + 1);
            self.cx.limit_acted(Limit::Sessions, None);
            return true;
        }
        false
    }

    /// Sets the number of open sessions; returns true if that changes whether the node should get new ones.
    fn set_open(&self, open: u32) -> bool {
        self.open.set(open);
        let full = self.capacity.is_full(open, self.full.get());
        full != self.full.replace(full)
    }

    /// Closes sessions that give way to readiness until the node isn't full any more.
    async fn make_ready(self: Rc<Self>) {
        while self.full.get() {
            tokio::time::sleep(MAKE_READY_PAUSE).await;
            let is_full = || {
                let open = self.open.get() - self.closing.get();
                self.capacity.is_full(open, self.full.get())
            };
            while is_full() && self.close_one(Stillness::gives_way_to_readiness) {}
        }
    }
}

/// Counts as an open session until it is dropped.
pub(super) struct OpenSession {
    load: Rc<SessionLoad>,
    number: u64,
    /// Where the session is among the still ones; `None` while it is busy.
    still: Option<(Stillness, Instant)>,
    closed: Rc<Notify>,
}

impl OpenSession {
    /// Counts one more open session, which waits for its first message.
    pub(super) fn begin(load: &Rc<SessionLoad>) -> Self {
        let number = load.next_number.get();
        load.next_number.set(number + 1);
        let mut session = Self {
            load: load.clone(),
            number,
            still: None,
            closed: Rc::new(Notify::new()),
        };
        session.count(load.open.get() + 1);
        session.set_still(Stillness::Connecting);
        session
    }

    fn count(&self, open: u32) {
        let load = &self.load;
        if load.set_open(open) {
            let full = load.is_full();
            load.cx.events.write(&Event::SessionsFull { full, open });
            if full {
                tokio::task::spawn_local(load.clone().make_ready());
            }
        }
    }

    /// Records what the session waits for from now on.
    pub(super) fn set_still(&mut self, stillness: Stillness) {
        self.set_busy();
        let since = Instant::now();
        self.still = Some((stillness, since));
        let mut sessions = self.load.still(stillness).borrow_mut();
        sessions.insert((since, self.number), self.closed.clone());
    }

    /// Records that the session has something to do, so that it isn't closed.
    pub(super) fn set_busy(&mut self) {
        if let Some((stillness, since)) = self.still.take() {
            let mut sessions = self.load.still(stillness).borrow_mut();
            let was_closed = sessions.remove(&(since, self.number)).is_none();
            debug_assert!(!was_closed, "a session that was told to close goes on");
        }
    }

    /// What is notified when the session has to close.
    pub(super) fn closed(&self) -> Rc<Notify> {
        self.closed.clone()
    }
}

impl Drop for OpenSession {
    fn drop(&mut self) {
        if let Some((stillness, since)) = self.still {
            let key = (since, self.number);
            let removed = self.load.still(stillness).borrow_mut().remove(&key);
            if removed.is_none() {
                self.load.closing.set(self.load.closing.get() - 1);
            }
        }
        self.count(self.load.open.get() - 1);
    }
}
