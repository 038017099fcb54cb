//! Looks after the primaries of all groups, on the failover coordinator.
//!
//! [`Failover`] owns which groups are being looked at and when primaries may be moved without need. Its steps
//! stand in `cause`, `poll`, `survey`, `replacement`, `handover` and `appointment`.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::Moves;
use dyketally::failover::Appointments;
use dyketally::identifiers::GroupName;
use tokio::time::Instant;

use crate::context::Context;
use crate::database::Databases;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::peer::Peers;
use crate::ports::PrimaryControl;
use crate::succession::Leadership;
use crate::succession::coordinator::CoordinatorKeeper;
use crate::succession::fence::FenceKeeper;

/// How often the coordinator looks at all groups without being notified. Not measured.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after an attempt that failed. Not measured.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Replaces primaries while this node is the failover coordinator.
pub struct Failover {
    pub(super) cx: Rc<Context>,
    pub(super) databases: Rc<Databases>,
    pub(super) fleet: Rc<Fleet>,
    pub(super) leadership: Rc<Leadership>,
    pub(super) coordinator: Rc<CoordinatorKeeper>,
    pub(super) peers: Rc<Peers>,
    pub(super) control: Rc<dyn PrimaryControl>,
    pub(super) fences: FenceKeeper,
    pub(super) appointments: RefCell<Appointments>,
    /// Groups that are being looked at.
    busy: RefCell<HashSet<GroupName>>,
    /// When a fence around the primary of a group couldn't be closed.
    pub(super) unclosed: RefCell<HashMap<GroupName, Instant>>,
    /// When primaries may be moved without need.
    pub(super) moves: RefCell<Moves>,
}

impl Failover {
    /// A replacer that isn't running yet.
    pub fn new(
        databases: Rc<Databases>,
        fleet: Rc<Fleet>,
        leadership: Rc<Leadership>,
        coordinator: Rc<CoordinatorKeeper>,
        peers: Rc<Peers>,
        control: Rc<dyn PrimaryControl>,
        fences: FenceKeeper,
    ) -> Rc<Self> {
        Rc::new(Self {
            cx: fleet.cx.clone(),
            databases,
            fleet,
            leadership,
            fences,
            coordinator,
            peers,
            control,
            busy: RefCell::default(),
            unclosed: RefCell::default(),
            moves: RefCell::default(),
            appointments: RefCell::default(),
        })
    }

    /// Looks after all groups whenever there is reason to, forever.
    pub async fn run(self: Rc<Self>) {
        loop {
            let attention = self.fleet.coordinator.attention.notified();
            match self.fleet.coordinator.last_term() {
                Some(_) => {
                    // Either way it is time to look.
                    let _ = tokio::time::timeout(LOOK_INTERVAL, attention).await;
                }
                None => attention.await,
            }
            if self.fleet.coordinator.last_term().is_some() {
                self.look_at_all();
            }
        }
    }

    fn look_at_all(self: &Rc<Self>) {
        let groups = self.databases.directory.borrow().groups();
        for group in groups {
            if !self.busy.borrow_mut().insert(group.clone()) {
                continue;
            }
            let failover = self.clone();
            tokio::task::spawn_local(async move {
                failover.look_at(&group).await;
                failover.busy.borrow_mut().remove(&group);
            });
        }
    }

    async fn look_at(self: &Rc<Self>, group: &GroupName) {
        let Some(cause) = self.cause(group).await else {
            return;
        };
        self.step(group, "start", format!("{cause:?}"));
        if !self.replace(group, &cause).await {
            tokio::time::sleep(RETRY_PAUSE).await;
            self.fleet.coordinator.attention.notify_one();
        }
    }

    pub(super) fn step(&self, group: &GroupName, step: &str, detail: String) {
        self.cx.events.write(&Event::FailoverStep {
            group: group.as_str(),
            step,
            detail,
        });
    }

    /// Records that the primary of a group can't be fenced now.
    pub(super) fn leave_unclosed(&self, group: &GroupName) {
        let mut unclosed = self.unclosed.borrow_mut();
        unclosed.insert(group.clone(), Instant::now());
    }
}
