//! The configuration in force, and when it was last confirmed to be the newest one. The age of this confirmation
//! decides whether callers' keys can be trusted; see [`dyketally::tenant::KeyTrust`].

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
    /// The state of a node that has just started: no configuration is in force and none has been confirmed.
    pub fn new(policy: KeyPolicy) -> Self {
        Self {
            routes: RefCell::default(),
            is_in_force: Cell::new(false),
            trust: RefCell::new(KeyTrust::new(policy)),
            logged_uncertain: Cell::new(false),
        }
    }

    /// The routes in force; empty while no configuration is in force.
    pub fn routes(&self) -> Rc<RouteSet> {
        self.routes.borrow().clone()
    }

    /// True once a configuration has been received.
    pub fn is_in_force(&self) -> bool {
        self.is_in_force.get()
    }

    /// Puts the configuration with `routes` into force.
    pub fn replace(&self, routes: RouteSet) {
        *self.routes.borrow_mut() = Rc::new(routes);
        self.is_in_force.set(true);
    }
}

impl Context {
    /// The routes in force; empty while no configuration is in force.
    pub fn routes(&self) -> Rc<RouteSet> {
        self.configuration.routes()
    }

    /// True once this node has a configuration in force.
    pub fn is_configured(&self) -> bool {
        self.configuration.is_in_force()
    }

    /// Waits until a configuration is in force, at most until `until`.
    pub async fn wait_until_configured(&self, until: Instant) {
        while !self.is_configured() && Instant::now() < until {
            self.changes.next(until).await;
        }
    }

    /// Records that this node has received from the store all changes of the configuration that were made before it
    /// sent the request at `requested_at`.
    pub fn record_key_confirmation(&self, requested_at: Timestamp) {
        self.configuration.trust.borrow_mut().confirm(requested_at);
        self.log_if_trusted_again();
    }

    /// Records a relay's reply to the request sent at `requested_at`: the relay has passed on all changes of the
    /// configuration that it had received, and its own configuration was last confirmed `age` before it replied.
    pub fn record_key_confirmation_by_relay(&self, requested_at: Timestamp, age: Duration) {
        let mut trust = self.configuration.trust.borrow_mut();
        trust.confirm_relayed(requested_at, age);
        drop(trust);
        self.log_if_trusted_again();
    }

    /// How long ago this node's configuration was confirmed to be the newest one; `None` if it never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        self.configuration.trust.borrow().age(self.now())
    }

    /// True while callers' keys can be trusted, so that operations that need a key may be served. Logs an event when
    /// this is found to have become false.
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
