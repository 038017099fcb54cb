//! State and interface of one node's membership.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::identifiers::NodeName;
use crate::policy::Revision;
use crate::time::Timestamp;

use super::config::{Config, InvalidConfig};
use super::member::{Incarnation, Member, MemberState, Record};
use super::message::{Message, Update, WireError, decode};
use super::output::{Counters, Event, Output};
use super::probes::Probes;
use super::regions::Regions;
use super::rings::Rings;
use super::rumors::Rumors;
use super::schedule::Schedule;
use super::send::NOTIFIED_WHEN_LEAVING;
use super::suspicion::Suspicions;
use super::sync::SyncPace;
use super::table::{Entry, Status, Table};

/// Number of members that a node notifies at once when it gets a newer configuration.
const NOTIFIED_OF_REVISION: usize = 3;

/// Whether the node takes part in membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The node takes part.
    Running,
    /// The node has announced that it left.
    Left,
    /// A newer process runs under the node's name.
    Replaced,
}

/// The membership of one node.
///
/// The driver passes in received messages ([`Membership::handle`]) and calls [`Membership::tick`] when
/// [`Membership::next_deadline`] is reached; both return what the driver has to do.
#[derive(Debug)]
pub struct Membership {
    pub(super) config: Config,
    pub(super) own: NodeName,
    pub(super) phase: Phase,
    pub(super) revision: Revision,
    pub(super) join_addresses: Vec<SocketAddr>,
    pub(super) table: Table,
    pub(super) rings: Rings,
    pub(super) rumors: Rumors,
    pub(super) suspicions: Suspicions,
    pub(super) regions: Regions,
    pub(super) probes: Probes,
    pub(super) sync: SyncPace,
    pub(super) schedule: Schedule,
    pub(super) counters: Counters,
    pub(super) state_version: u64,
    pub(super) revision_version: u64,
    pub(super) rng: StdRng,
    pub(super) outputs: Vec<Output>,
}

impl Membership {
    /// Creates the membership of the node that `own` describes. `seed` determines its random choices.
    ///
    /// # Errors
    /// Fails when `config` is invalid.
    pub fn new(
        config: Config,
        own: Record,
        seed: u64,
        now: Timestamp,
    ) -> Result<Self, InvalidConfig> {
        config.validate()?;
        let mut membership = Self {
            own: own.node.clone(),
            phase: Phase::Running,
            revision: Revision::default(),
            join_addresses: Vec::new(),
            table: Table::new(),
            rings: Rings::new(own.node.clone(), own.locality.clone()),
            rumors: Rumors::default(),
            suspicions: Suspicions::default(),
            regions: Regions::default(),
            probes: Probes::default(),
            sync: SyncPace::new(now),
            schedule: Schedule::new(&config, now),
            counters: Counters::default(),
            state_version: 0,
            revision_version: 0,
            rng: StdRng::seed_from_u64(seed),
            outputs: Vec::new(),
            config,
        };
        membership.rumors.add(now, Update::Alive(own.clone()));
        membership.table.put(own, Status::Alive, now);
        Ok(membership)
    }

    /// Sets the addresses through which the node joins: seeds from the settings and the platform's list.
    /// The node's own address is left out.
    pub fn set_contacts(&mut self, addresses: Vec<SocketAddr>) {
        let own = self
            .own_entry()
            .map(|entry| entry.record.addresses.membership);
        self.join_addresses = addresses;
        self.join_addresses.retain(|address| Some(*address) != own);
    }

    /// Sets the configuration revision that this node announces. A newer one is announced to a few members
    /// at once.
    pub fn set_revision(&mut self, now: Timestamp, revision: Revision) -> Vec<Output> {
        let is_newer = revision > self.revision;
        self.revision = revision;
        let own = self.own.clone();
        if self.table.set_revision(&own, revision) {
            self.revision_version += 1;
        }
        let interval = self.config.probe_interval;
        if is_newer && self.phase == Phase::Running && self.schedule.may_notify(interval, now) {
            self.notify_some(now, NOTIFIED_OF_REVISION);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Handles a datagram received from `from`; one that cannot be decoded is counted and dropped.
    ///
    /// # Errors
    /// Gives the reason why the datagram was dropped.
    pub fn handle_datagram(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        datagram: &[u8],
    ) -> Result<Vec<Output>, WireError> {
        match decode(datagram) {
            Ok(message) => Ok(self.handle(now, from, message)),
            Err(error) => {
                self.counters.garbage += 1;
                Err(error)
            }
        }
    }

    /// Handles a message received from `from`.
    pub fn handle(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Vec<Output> {
        self.advance(now);
        self.counters.received += 1;
        if self.phase == Phase::Running {
            self.receive(now, from, message);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Runs the actions that are due at `now`.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Output> {
        self.advance(now);
        if self.phase == Phase::Running {
            self.run_schedule(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Announces that this node will leave; the node still takes part.
    pub fn announce_leaving(&mut self, now: Timestamp) -> Vec<Output> {
        if self.phase == Phase::Running {
            self.renew_self(now, None, true);
            self.notify_some(now, NOTIFIED_WHEN_LEAVING);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Announces that this node has left; the node no longer takes part.
    pub fn leave(&mut self, now: Timestamp) -> Vec<Output> {
        if self.phase == Phase::Running {
            self.announce_left(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// When [`Membership::tick`] must be called at the latest; `None` once this node has left or
    /// was replaced.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        if self.phase != Phase::Running {
            return None;
        }
        let confirmers = self.possible_confirmers();
        let suspicion = self.suspicions.next_deadline(&self.config, confirmers);
        let deadlines = [suspicion, self.probes.next_deadline()];
        let scheduled = std::iter::once(self.schedule.next_deadline());
        scheduled.chain(deadlines.into_iter().flatten()).min()
    }

    /// All known members, including this node.
    pub fn members(&self) -> Vec<Member> {
        self.table
            .iter()
            .map(|entry| self.member_of(entry))
            .collect()
    }

    /// One member.
    pub fn member(&self, node: &NodeName) -> Option<Member> {
        self.table.get(node).map(|entry| self.member_of(entry))
    }

    /// Increases whenever [`Membership::members`] changes.
    pub fn view_version(&self) -> u64 {
        self.state_version + self.revision_version
    }

    /// Increases whenever anything but a revision changes in [`Membership::members`].
    pub fn state_version(&self) -> u64 {
        self.state_version
    }

    /// This node's incarnation.
    pub fn own_incarnation(&self) -> Incarnation {
        let own = self.own_entry();
        own.map_or_else(Incarnation::default, |entry| entry.record.incarnation)
    }

    /// True once a newer process runs under this node's name.
    pub fn is_replaced(&self) -> bool {
        self.phase == Phase::Replaced
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Digest of the live members: equal on nodes with the same view of them.
    pub fn digest(&self) -> u64 {
        self.table.digests().whole()
    }

    pub(super) fn own_entry(&self) -> Option<&Entry> {
        self.table.get(&self.own)
    }

    pub(super) fn emit(&mut self, event: Event) {
        self.outputs.push(Output::Event(event));
    }

    /// True when `node` is a known member of this node's region.
    pub(super) fn is_of_own_region(&self, node: &NodeName) -> bool {
        let region = |node: &NodeName| self.table.get(node).map(|it| &it.record.locality.region);
        region(node).is_some_and(|it| Some(it) == region(&self.own))
    }

    /// Number of live members of this node's region, including this node.
    pub(super) fn region_size(&self) -> usize {
        let own = self.own_entry();
        own.map_or(1, |entry| self.table.live_in(&entry.record.locality.region))
    }

    /// Number of members that could confirm a suspicion raised by this node: all live members of the region
    /// except this node and the suspected one.
    pub(super) fn possible_confirmers(&self) -> usize {
        self.region_size().saturating_sub(2)
    }

    fn member_of(&self, entry: &Entry) -> Member {
        let record = &entry.record;
        Member {
            node: record.node.clone(),
            incarnation: record.incarnation,
            locality: record.locality.clone(),
            addresses: record.addresses,
            weight: record.weight,
            leaving: record.leaving,
            state: self.state_of(entry),
            revision: entry.revision,
        }
    }

    fn state_of(&self, entry: &Entry) -> MemberState {
        let reachable = self.regions.is_reachable(&entry.record.locality.region);
        match entry.status {
            Status::Dead => MemberState::Dead,
            Status::Left => MemberState::Left,
            Status::Alive | Status::Suspect if !reachable => MemberState::Unreachable,
            Status::Suspect => MemberState::Suspect,
            Status::Alive if entry.record.leaving => MemberState::Leaving,
            Status::Alive => MemberState::Alive,
        }
    }

    pub(super) fn address_of(&self, node: &NodeName) -> Option<SocketAddr> {
        let entry = self.table.get(node)?;
        Some(entry.record.addresses.membership)
    }

    /// Records the time of a call, and compensates for a pause of this process since the last one.
    fn advance(&mut self, now: Timestamp) {
        let gap = self.schedule.advance(now);
        if gap > self.config.stall_threshold {
            self.probes.clear();
            self.suspicions.extend(gap);
        }
        if gap > self.config.pause_threshold {
            self.recover_from_pause(gap, now);
        }
    }

    /// Recovers from a pause of this process. Missing answers during the pause say nothing about other
    /// nodes, and their updates were missed, so the member table is requested again.
    fn recover_from_pause(&mut self, gap: Duration, now: Timestamp) {
        self.counters.pauses += 1;
        self.regions.extend(gap, now);
        self.sync.restart_join();
        self.emit(Event::Paused(gap));
    }
}
