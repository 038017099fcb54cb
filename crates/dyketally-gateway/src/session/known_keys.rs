//! How current the keys of callers are that this node knows; see [`dyketally::tenant::KeyTrust`].

use std::cell::{Cell, RefCell};
use std::time::Duration;

use dyketally::tenant::{KeyPolicy, KeyTrust};
use dyketally::time::Timestamp;

use crate::event::Event;
use crate::gateway::Gateway;

/// How current the keys are, and whether the log tells that they aren't.
pub struct KnownKeys {
    trust: RefCell<KeyTrust>,
    told_uncertain: Cell<bool>,
}

impl KnownKeys {
    /// Nothing is confirmed yet.
    pub fn new(policy: KeyPolicy) -> Self {
        Self {
            trust: RefCell::new(KeyTrust::new(policy)),
            told_uncertain: Cell::new(false),
        }
    }
}

impl Gateway {
    /// Takes in that the store, asked at `asked`, has told this node of all changes of the
    /// configuration.
    pub fn keys_confirmed(&self, asked: Timestamp) {
        self.keys.trust.borrow_mut().confirm(asked);
        self.tell_if_certain_again();
    }

    /// Takes in that a relay, asked at `asked`, has passed on all changes of the configuration that it
    /// had heard of, and that its own was confirmed `age` before.
    pub fn keys_confirmed_by_relay(&self, asked: Timestamp, age: Duration) {
        self.keys.trust.borrow_mut().confirm_relayed(asked, age);
        self.tell_if_certain_again();
    }

    /// How long ago this node's configuration was confirmed to be the newest one.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.keys.trust.borrow().age(self.now())
    }

    /// True while operations that need a key may be served.
    pub fn keys_hold(&self) -> bool {
        let holds = self.keys.trust.borrow().holds(self.now());
        if !holds && !self.keys.told_uncertain.replace(true) {
            let age = self.configuration_age();
            self.events.write(&Event::KeysUncertain {
                confirmed_ms_ago: age.map(|age| age.as_millis() as u64),
            });
        }
        holds
    }

    /// True while nothing can be served: all routes need keys, and this node can't trust those it knows.
    pub fn refuses_all(&self) -> bool {
        !self.keys.trust.borrow().holds(self.now()) && self.routes().all_need_keys()
    }

    fn tell_if_certain_again(&self) {
        let holds = self.keys.trust.borrow().holds(self.now());
        if holds && self.keys.told_uncertain.replace(false) {
            self.events.write(&Event::KeysConfirmed);
        }
    }
}
