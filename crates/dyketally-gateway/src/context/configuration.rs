//! The configuration in force, and when it was last confirmed to be the newest one, which decides whether
//! callers' keys can be trusted; see [`dyketally::tenant::KeyTrust`].

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use dyketally::route_policy::RouteSet;
use dyketally::tenant::{KeyPolicy, KeyTrust};
use dyketally::time::Timestamp;
use tokio::time::Instant;

use super::Context;
use crate::event::Event;

/// The routes in force, and whether the callers' keys in them can still be trusted.
pub struct Configuration {
    routes: RefCell<Rc<RouteSet>>,
    is_in_force: Cell<bool>,
    trust: RefCell<KeyTrust>,
    /// True when the last logged state is that keys can't be trusted.
    logged_uncertain: Cell<bool>,
}

impl Configuration {
    /// Starts without a configuration; none is in force and nothing is confirmed.
    pub fn new(policy: KeyPolicy) -> Self {
        Self {
            routes: RefCell::default(),
            is_in_force: Cell::new(false),
            trust: RefCell::new(KeyTrust::new(policy)),
            logged_uncertain: Cell::new(false),
        }
    }

    /// The routes in force.
    pub fn routes(&self) -> Rc<RouteSet> {
        self.routes.borrow().clone()
    }

    /// True when a configuration is in force.
    pub fn is_in_force(&self) -> bool {
        self.is_in_force.get()
    }

    /// Replaces the routes in force.
    pub fn replace(&self, routes: RouteSet) {
        *self.routes.borrow_mut() = Rc::new(routes);
        self.is_in_force.set(true);
    }
}

impl Context {
    /// The routes in force.
    pub fn routes(&self) -> Rc<RouteSet> {
        self.configuration.routes()
    }

    /// True when a configuration is in force.
    pub fn is_configured(&self) -> bool {
        self.configuration.is_in_force()
    }

    /// Waits until a configuration is in force, at most until `until`.
    pub async fn wait_until_configured(&self, until: Instant) {
        while !self.is_configured() && Instant::now() < until {
            self.changes.next(until).await;
        }
    }

    /// Records that the store, by a request sent at `asked`, has reported all changes of the configuration up to
    /// then to this node.
    pub fn record_key_confirmation(&self, asked: Timestamp) {
        self.configuration.trust.borrow_mut().confirm(asked);
        self.log_if_trusted_again();
    }

    /// Records that a relay, by a request sent at `asked`, has passed on all changes of the configuration that it
    /// had received, and that the relay's own configuration was confirmed `age` before.
    pub fn record_key_confirmation_by_relay(&self, asked: Timestamp, age: Duration) {
        let mut trust = self.configuration.trust.borrow_mut();
        trust.confirm_relayed(asked, age);
        drop(trust);
        self.log_if_trusted_again();
    }

    /// How long ago this node's configuration was confirmed to be the newest one; `None` if it never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.configuration.trust.borrow().age(self.now())
    }

    /// True while operations that need a key may be served. Logs the first time that they may not.
    pub fn may_trust_keys(&self) -> bool {
        let holds = self.trusts_keys();
        if !holds && !self.configuration.logged_uncertain.replace(true) {
            let age = self.configuration_age();
            self.events.write(&Event::KeysUncertain {
                confirmed_ms_ago: age.map(|age| age.as_millis() as u64),
            });
        }
        holds
    }

    /// True while no operation can be served: all routes need keys, and this node can't trust the keys it knows.
    pub fn refuses_all(&self) -> bool {
        !self.trusts_keys() && self.routes().all_need_keys()
    }

    fn trusts_keys(&self) -> bool {
        self.configuration.trust.borrow().holds(self.now())
    }

    fn log_if_trusted_again(&self) {
        if self.trusts_keys() && self.configuration.logged_uncertain.replace(false) {
            self.events.write(&Event::KeysConfirmed);
        }
    }
}
