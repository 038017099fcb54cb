//! Checks the primaries of all groups and replaces them where needed, on the failover coordinator.
//!
//! [`Failover`] owns which groups are being checked, and when primaries may be moved for preference alone. The
//! steps of a failover are in `cause`, `poll`, `survey`, `replacement`, `handover` and `appointment`; `retirement` runs
//! beside them, and `resumption` while there is nothing to replace.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dyketally::eligibility::PrimaryMoves;
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
use crate::succession::suspensions::Suspensions;

/// Longest pause between two checks of all groups; notifications start a check earlier.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed attempt to replace a primary, and between two requests to step down.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Pause between two attempts to retire databases of a group.
const RETIREMENT_PAUSE: Duration = Duration::from_millis(250);
/// Most groups of one check whose replicas are asked whether they are suspended: a coordinator that takes the duty asks
/// those of all groups whose commits wait for replicas.
const MAX_RESUMPTIONS_AT_ONCE: usize = 16;

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
    /// The last appointment in each group, and the refused tokens.
    pub(super) appointments: RefCell<Appointments>,
    /// Groups that are being checked, or whose primary is being replaced.
    busy: RefCell<HashSet<GroupName>>,
    /// Groups in which databases that have ended are being retired.
    retiring: RefCell<HashSet<GroupName>>,
    /// Whose replicas may be suspended.
    pub(super) suspensions: RefCell<Suspensions>,
    /// When a fence around the primary of each group last couldn't be closed.
    pub(super) unclosed_fences: RefCell<HashMap<GroupName, Instant>>,
    /// When the primary of each group may be moved again for preference alone.
    pub(super) moves: RefCell<PrimaryMoves>,
}

impl Failover {
    /// Creates the part, which isn't running yet.
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
            retiring: RefCell::default(),
            suspensions: RefCell::default(),
            unclosed_fences: RefCell::default(),
            moves: RefCell::default(),
            appointments: RefCell::default(),
        })
    }

    /// Checks all groups when notified and at each [`CHECK_INTERVAL`] while this node is the coordinator, forever.
    pub async fn run(self: Rc<Self>) {
        loop {
            let attention = self.fleet.coordinator.attention.notified();
            if self.fleet.coordinator.last_term().is_none() {
                self.suspensions.borrow_mut().forget();
            }
            match self.fleet.coordinator.last_term() {
                Some(_) => {
                    // The groups are checked whether this was notified or the pause is over.
                    let _ = tokio::time::timeout(CHECK_INTERVAL, attention).await;
                }
                None => attention.await,
            }
            if self.fleet.coordinator.last_term().is_some() {
                self.check_groups();
            }
        }
    }

    fn check_groups(self: &Rc<Self>) {
        let groups = self.databases.directory.borrow().groups();
        let mut resumptions = 0;
        for group in groups {
            self.retire_in_background(&group);
            let resumes = resumptions < MAX_RESUMPTIONS_AT_ONCE && self.is_resumption_due(&group);
            let needs_check = resumes || self.needs_check(&group);
            if !needs_check || !self.busy.borrow_mut().insert(group.clone()) {
                continue;
            }
            resumptions += usize::from(resumes);
            let failover = self.clone();
            tokio::task::spawn_local(async move {
                failover.check_group(&group).await;
                failover.busy.borrow_mut().remove(&group);
            });
        }
    }

    /// Retires databases that have ended from those whose logs a takeover of `group` needs, if there are any.
    fn retire_in_background(self: &Rc<Self>, group: &GroupName) {
        if !self.has_departed_holders(group) || !self.retiring.borrow_mut().insert(group.clone()) {
            return;
        }
        let failover = self.clone();
        let group = group.clone();
        tokio::task::spawn_local(async move {
            failover.retire_departed_holders(&group).await;
            tokio::time::sleep(RETIREMENT_PAUSE).await;
            failover.retiring.borrow_mut().remove(&group);
        });
    }

    async fn check_group(self: &Rc<Self>, group: &GroupName) {
        let Some(cause) = self.cause(group).await else {
            self.undo_suspensions(group).await;
            return;
        };
        self.log_step(group, "start", format!("{cause:?}"));
        if !self.replace(group, &cause).await {
            tokio::time::sleep(RETRY_PAUSE).await;
            self.fleet.coordinator.attention.notify_one();
        }
    }

    /// Logs a step of a failover.
    pub(super) fn log_step(&self, group: &GroupName, step: &str, detail: String) {
        self.cx.events.write(&Event::FailoverStep {
            group: group.as_str(),
            step,
            detail,
        });
    }

    /// Records that the fence around the primary of a group couldn't be closed now.
    pub(super) fn record_unclosed_fence(&self, group: &GroupName) {
        let mut unclosed_fences = self.unclosed_fences.borrow_mut();
        unclosed_fences.insert(group.clone(), Instant::now());
    }
}
