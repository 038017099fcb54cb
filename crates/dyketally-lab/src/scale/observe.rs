//! What the hollow nodes notice, with the time.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use dyketally::identifiers::NodeName;
use dyketally::membership::Event;
use dyketally::policy::Revision;

/// What a node noticed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A change of membership.
    Membership(Event),
    /// A configuration is in force.
    InForce(Revision),
}

/// One notice.
#[derive(Clone, Debug)]
pub struct Observation {
    /// When.
    pub at: Instant,
    /// At which node, by number.
    pub observer: usize,
    /// What.
    pub notice: Notice,
}

/// All notices since they were last cleared. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    all: Arc<Mutex<Vec<Observation>>>,
}

impl Observations {
    /// Adds a notice.
    pub fn add(&self, observer: usize, notice: Notice) {
        let observation = Observation {
            at: Instant::now(),
            observer,
            notice,
        };
        self.with(|all| all.push(observation));
    }

    /// Forgets all notices.
    pub fn clear(&self) {
        self.with(Vec::clear);
    }

    /// Time from `since` until each of `observers` first noticed something that `wanted` accepts;
    /// `None` for those that have not.
    pub fn first_times(
        &self,
        since: Instant,
        observers: &[usize],
        wanted: impl Fn(&Notice) -> bool,
    ) -> Vec<Option<Duration>> {
        let highest = observers.iter().max().map_or(0, |highest| highest + 1);
        let mut first = vec![None; highest];
        self.with(|all| {
            let matching = all.iter().filter(|it| it.at >= since && wanted(&it.notice));
            for observation in matching.filter(|it| it.observer < highest) {
                let elapsed = observation.at - since;
                first[observation.observer].get_or_insert(elapsed);
            }
        });
        observers.iter().map(|observer| first[*observer]).collect()
    }

    /// The distinct nodes about which `about` names a notice since `since`.
    pub fn distinct_nodes(
        &self,
        since: Instant,
        about: impl Fn(&Event) -> Option<NodeName>,
    ) -> Vec<NodeName> {
        let mut nodes = self.with(|all| {
            let recent = all.iter().filter(|observation| observation.at >= since);
            let named = recent.filter_map(|observation| match &observation.notice {
                Notice::Membership(event) => about(event),
                Notice::InForce(_) => None,
            });
            named.collect::<Vec<_>>()
        });
        nodes.sort();
        nodes.dedup();
        nodes
    }

    fn with<T>(&self, action: impl FnOnce(&mut Vec<Observation>) -> T) -> T {
        action(&mut self.all.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
