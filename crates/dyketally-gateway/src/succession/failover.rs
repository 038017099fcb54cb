//! Decides on the failover coordinator that a primary is lost, leaves, or should lead elsewhere.
//!
//! [`Failover`] owns which groups are being looked at and when primaries may be moved without need. Its steps
//! stand in `survey`, `replacement` and `appointment`.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dyketally::directory::MemberState;
use dyketally::eligibility::{Moves, ServingRegions};
use dyketally::failover::{Appointments, PollResult, Verdict, judge};
use dyketally::identifiers::{DatabaseName, GroupName};
use tokio::time::Instant;

use crate::context::Context;
use crate::database::Databases;
use crate::database::target::Target;
use crate::event::Event;
use crate::fleet::Fleet;
use crate::fleet::peer::{Peers, Vote};
use crate::ports::PrimaryControl;
use crate::succession::Leadership;
use crate::succession::coordinator::CoordinatorKeeper;
use crate::succession::fence::FenceKeeper;
use crate::succession::suspicion::PROBE_LIMIT;

/// How often the coordinator looks at all groups without being notified. Not measured.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// How long votes are waited for: longer than a probe takes. Not measured.
const VOTES_LIMIT: Duration = Duration::from_millis(400);
/// A suspicion that lasts this long needs fewer votes. Not measured.
const PROLONGED: Duration = Duration::from_millis(2_500);
/// How long a database that can be reached again may take to announce itself. Not measured.
const LISTED_AGAIN: Duration = Duration::from_secs(2);
/// How much longer a primary must be cold for a handover to pay, which interrupts writes for 1.30 s
/// (median of five planned handovers, promotion of 1 s; decision 0041).
const COLD_WORTH_MOVING: Duration = Duration::from_secs(3);
/// Pause after an attempt that failed. Not measured.
pub(super) const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// How long a group may be without a known primary before it is given one. Not measured.
pub(super) const NO_PRIMARY_GRACE: Duration = Duration::from_millis(400);

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
    busy: RefCell<HashSet<GroupName>>,
    /// When a fence around the primary of a group couldn't be closed.
    unclosed: RefCell<HashMap<GroupName, Instant>>,
    /// When primaries may be moved without need.
    pub(super) moves: RefCell<Moves>,
}

/// Why a primary is replaced.
#[derive(Clone, Debug)]
pub(super) enum Cause {
    /// It announced that it leaves, and can still hand over.
    Leaves(Target),
    /// It no longer announces itself, which may be the store's fault or its path to the store's: it
    /// may lead as before, and should hand over.
    Unlisted(Target),
    /// Its zone is evacuated, and a database elsewhere can take over.
    Evacuated(Target),
    /// More of what may ask for it is served in these regions.
    Misplaced(Target, ServingRegions),
    /// It has just started and bears little load for a while, and a warm replica can take over.
    Cold(Target),
    /// No node reaches it. It was suspected this long ago.
    Lost(Target, Duration),
    /// No database leads.
    NoPrimary,
}

impl Cause {
    /// The primary that is replaced.
    pub(super) fn old(&self) -> Option<&Target> {
        match self {
            Self::Leaves(old)
            | Self::Unlisted(old)
            | Self::Evacuated(old)
            | Self::Misplaced(old, _)
            | Self::Cold(old)
            | Self::Lost(old, _) => Some(old),
            Self::NoPrimary => None,
        }
    }
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

    async fn cause(self: &Rc<Self>, group: &GroupName) -> Option<Cause> {
        let holds = self.fleet.coordinator.term().is_some();
        let Some((primary, state)) = self.known_primary(group) else {
            return match holds {
                true => self.without_primary(group).await,
                false => None,
            };
        };
        match state {
            MemberState::Draining if holds => return Some(Cause::Leaves(primary)),
            MemberState::Gone if holds && !self.may_be_listed_again(group) => {
                return Some(Cause::Unlisted(primary));
            }
            _ => {}
        }
        if holds
            && self.databases.is_evacuated(&primary.zone)
            && self.databases.has_successor(group, &primary.name)
        {
            return Some(Cause::Evacuated(primary));
        }
        if holds && let Some(regions) = self.better_regions(group, &primary) {
            return Some(Cause::Misplaced(primary, regions));
        }
        if holds && self.is_cold_without_need(group, &primary) {
            return Some(Cause::Cold(primary));
        }
        let key = (group.clone(), primary.name.clone());
        let since = self.suspicions().borrow().get(&key).copied()?;
        match self.verdict(&primary, since).await {
            Verdict::Alive => {
                self.suspicions().borrow_mut().remove(&key);
                None
            }
            Verdict::Undecided => None,
            Verdict::Lost => {
                self.suspicions().borrow_mut().remove(&key);
                Some(Cause::Lost(primary, since.elapsed()))
            }
        }
    }

    /// Records that the primary of a group can't be fenced now.
    pub(super) fn leave_unclosed(&self, group: &GroupName) {
        let mut unclosed = self.unclosed.borrow_mut();
        unclosed.insert(group.clone(), Instant::now());
    }

    /// True shortly after a fence couldn't be closed: some node reaches the primary, so a cut may
    /// just have healed, and the primary announces itself again.
    fn may_be_listed_again(&self, group: &GroupName) -> bool {
        let unclosed = self.unclosed.borrow();
        unclosed
            .get(group)
            .is_some_and(|at| at.elapsed() < LISTED_AGAIN)
    }

    /// Where the group should be led from rather than by `primary`, if it is time to move it.
    fn better_regions(&self, group: &GroupName, primary: &Target) -> Option<ServingRegions> {
        let regions = self.databases.preferred_regions(primary)?;
        let now = self.cx.now();
        let may_begin = self.moves.borrow().may_begin(group, now);
        may_begin.then_some(regions)
    }

    /// True when `primary` will be cold for so long that a handover to a warm replica pays, and it is time
    /// to move it. Where regions are bound the place of the primary goes first.
    fn is_cold_without_need(&self, group: &GroupName, primary: &Target) -> bool {
        let cold_for = self.databases.pacer(&primary.name).announced_cold_for();
        cold_for >= COLD_WORTH_MOVING
            && !self.cx.routes().binds_regions()
            && self.databases.has_warm_successor(group, &primary.name)
            && self.moves.borrow().may_begin(group, self.cx.now())
    }

    fn suspicions(&self) -> &RefCell<HashMap<(GroupName, DatabaseName), Instant>> {
        &self.fleet.coordinator.suspicions
    }

    fn known_primary(&self, group: &GroupName) -> Option<(Target, MemberState)> {
        let directory = self.databases.directory.borrow();
        let primary = directory.primary(group)?;
        Some((self.databases.target(primary, true), primary.state))
    }

    async fn without_primary(self: &Rc<Self>, group: &GroupName) -> Option<Cause> {
        let until = Instant::now() + NO_PRIMARY_GRACE;
        while Instant::now() < until {
            self.leadership.confirmations.search_primary(group);
            self.cx.changes.next(until).await;
            if self.known_primary(group).is_some() {
                return None;
            }
        }
        if !self.databases.directory_is_settled() {
            return None;
        }
        Some(Cause::NoPrimary)
    }

    async fn verdict(self: &Rc<Self>, primary: &Target, since: Instant) -> Verdict {
        let mut poll = self.peers.poll(&primary.group, &primary.name);
        let nodes = poll.asked + 1;
        let mut result = PollResult {
            nodes,
            prolonged: since.elapsed() > PROLONGED,
            ..PollResult::default()
        };
        let until = Instant::now() + VOTES_LIMIT;
        let own = self.leadership.suspicions.evidence_of(primary);
        tokio::pin!(own);
        let mut own_known = false;
        loop {
            let vote: Option<Vote> = tokio::select! {
                evidence = &mut own, if !own_known => {
                    own_known = true;
                    let store_lost = self.cx.store_health.is_lost();
                    let from = self.cx.settings.listen.peers;
                    Some(Vote { evidence, store_lost, from })
                }
                vote = poll.votes.receiver.recv() => vote,
                () = tokio::time::sleep_until(until) => None,
            };
            match vote {
                Some(vote) => {
                    result.evidence.push(vote.evidence);
                    result.store_lost += usize::from(vote.store_lost);
                }
                None => result.complete = true,
            }
            result.lease_runs = self.fleet.coordinator.term().is_some();
            let verdict = judge(&result);
            if verdict != Verdict::Undecided || result.complete {
                self.cx.events.write(&Event::PrimaryPolled {
                    group: primary.group.as_str(),
                    database: primary.name.as_str(),
                    evidence: format!("{:?} of {nodes}", result.evidence),
                    verdict: format!("{verdict:?}"),
                });
                return verdict;
            }
        }
    }
}

const _: () = assert!(PROBE_LIMIT.as_millis() < VOTES_LIMIT.as_millis());
