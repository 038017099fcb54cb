//! State that all parts of the process share: settings, clock, log, counters and metrics, the configuration
//! in force, the node's contact with the store and other nodes, and the signals that tasks wait for.
//!
//! Relies on no higher layer: every part is built with an `Rc<Context>`.

mod accept;
mod answers;
mod changes;
mod clock;
mod configuration;
pub mod contact;
pub mod input;
mod limits;
pub mod memory;
mod stop;
pub mod store_health;

use std::rc::Rc;
use std::sync::Arc;

use dyketally::time::Timestamp;

pub use self::accept::accept;
pub use self::answers::UnreadAnswer;
pub use self::changes::Changes;
pub use self::clock::Clock;
pub use self::configuration::Configuration;
use self::contact::NodeContact;
pub use self::limits::Limit;
use self::limits::LimitLog;
use self::memory::MemoryBudget;
pub use self::stop::{Stop, StopPhase};
use self::store_health::StoreHealth;
use crate::counters::{Counters, StoreCalls};
use crate::event::EventLog;
use crate::measures::Measures;
use crate::settings::Settings;

/// State that all parts of the process share.
pub struct Context {
    /// The process's settings.
    pub settings: Settings,
    /// The monotonic clock.
    pub clock: Clock,
    /// The structured log.
    pub events: EventLog,
    /// Counts of what the process has done, for the log.
    pub counters: Counters,
    /// Counts and durations for the metrics.
    pub measures: Rc<Measures>,
    /// The configuration in force and its age.
    pub configuration: Configuration,
    /// When the store and most nodes last replied to this node.
    pub contact: Rc<NodeContact>,
    /// Whether the store replies.
    pub store_health: StoreHealth,
    /// The memory for callers' bytes.
    pub memory: MemoryBudget,
    limits: LimitLog,
    /// Notifies tasks that routes, databases or a primary have changed.
    pub changes: Changes,
    /// The phase of the planned stop.
    pub stop: Stop,
}

impl Context {
    /// Creates the state of a process that starts now. The client of the store counts its calls in `store_calls`.
    pub fn new(settings: Settings, store_calls: Arc<StoreCalls>) -> Rc<Self> {
        let configuration = Configuration::new(settings.access.key_policy());
        let memory = MemoryBudget::new(settings.node.memory_mb);
        Rc::new(Self {
            settings,
            clock: Clock::start(),
            events: EventLog::default(),
            counters: Counters::new(store_calls),
            measures: Rc::default(),
            configuration,
            contact: Rc::default(),
            store_health: StoreHealth::default(),
            memory,
            limits: LimitLog::default(),
            changes: Changes::default(),
            stop: Stop::default(),
        })
    }

    /// The current time of the process's monotonic clock.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }
}
