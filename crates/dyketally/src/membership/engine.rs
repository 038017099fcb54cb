//! The membership of one node: its state and its interface.

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
use super::send::TOLD_WHEN_LEAVING;
use super::suspicion::Suspicions;
use super::sync::SyncPace;
use super::table::{Entry, Status, Table};

/// Members that a node tells at once when its configuration has become newer.
const TOLD_OF_REVISION: usize = 3;

/// Where the node stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// It takes part.
    Running,
    /// It has told that it is gone.
    Left,
    /// A newer process has its name.
    Replaced,
}

/// The membership of one node.
///
/// The driver passes in what arrives ([`Membership::handle`]) and calls [`Membership::tick`] when
/// [`Membership::next_deadline`] is reached; both give back what to do.
#[derive(Debug)]
pub struct Membership {
    pub(super) config: Config,
    pub(super) own: NodeName,
    pub(super) phase: Phase,
    pub(super) revision: Revision,
    pub(super) contacts: Vec<SocketAddr>,
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
    /// Makes the membership of the node that `own` describes. `seed` sets its random choices.
    ///
    /// # Errors
    /// Fails when `config` can't work.
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
            contacts: Vec::new(),
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

    /// Sets the addresses to join through: seeds from the settings, and the platform's list.
    pub fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        let own = self
            .own_entry()
            .map(|entry| entry.record.addresses.membership);
        self.contacts = contacts;
        self.contacts.retain(|contact| Some(*contact) != own);
    }

    /// Sets the configuration revision that this node tells others. A newer one is told to a few
    /// members at once.
    pub fn set_revision(&mut self, now: Timestamp, revision: Revision) -> Vec<Output> {
        let is_newer = revision > self.revision;
        self.revision = revision;
        let own = self.own.clone();
        if self.table.set_revision(&own, revision) {
            self.revision_version += 1;
        }
        let interval = self.config.probe_interval;
        if is_newer && self.phase == Phase::Running && self.schedule.may_tell(interval, now) {
            self.tell_some(now, TOLD_OF_REVISION);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Takes a datagram that arrived from `from`; one that can't be read is counted.
    ///
    /// # Errors
    /// Tells why the datagram was dropped.
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

    /// Takes a message that arrived from `from`.
    pub fn handle(&mut self, now: Timestamp, from: SocketAddr, message: Message) -> Vec<Output> {
        self.advance(now);
        self.counters.received += 1;
        if self.phase == Phase::Running {
            self.receive(now, from, message);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Does what is due at `now`.
    pub fn tick(&mut self, now: Timestamp) -> Vec<Output> {
        self.advance(now);
        if self.phase == Phase::Running {
            self.run_schedule(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Tells others that this node will leave, and goes on to take part.
    pub fn announce_leaving(&mut self, now: Timestamp) -> Vec<Output> {
        if self.phase == Phase::Running {
            self.renew_self(now, None, true);
            self.tell_some(now, TOLD_WHEN_LEAVING);
        }
        std::mem::take(&mut self.outputs)
    }

    /// Tells others that this node is gone, and takes part no longer.
    pub fn leave(&mut self, now: Timestamp) -> Vec<Output> {
        if self.phase == Phase::Running {
            self.tell_left(now);
        }
        std::mem::take(&mut self.outputs)
    }

    /// When [`Membership::tick`] must be called at the latest; `None` once this node has left or
    /// was replaced.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        if self.phase != Phase::Running {
            return None;
        }
        let judges = self.other_judges();
        let suspicion = self.suspicions.next_deadline(&self.config, judges);
        let deadlines = [suspicion, self.probes.next_deadline()];
        let scheduled = std::iter::once(self.schedule.next_deadline());
        scheduled.chain(deadlines.into_iter().flatten()).min()
    }

    /// All members that are known, this node among them.
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

    /// Grows whenever [`Membership::members`] changes.
    pub fn view_version(&self) -> u64 {
        self.state_version + self.revision_version
    }

    /// Grows whenever anything but a revision changes in [`Membership::members`].
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

    /// Live members of this node's region, itself among them.
    pub(super) fn region_size(&self) -> usize {
        let own = self.own_entry();
        own.map_or(1, |entry| self.table.live_in(&entry.record.locality.region))
    }

    /// Members that could confirm a suspicion of this node: all of the region but the two.
    pub(super) fn other_judges(&self) -> usize {
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

    /// Notes the time, and whether this process was paused since the last call.
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

    /// Silence during a pause says nothing about others; their news has to be caught up with.
    fn recover_from_pause(&mut self, gap: Duration, now: Timestamp) {
        self.counters.pauses += 1;
        self.regions.extend(gap, now);
        self.sync.start_over();
        self.emit(Event::Paused(gap));
    }
}
