//! Which nodes are relays, and which of them this node follows. Owns nothing; relies on the list of nodes, on
//! whether this node is the failover coordinator, and on how current its own watches are.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::{NodeName, ZoneName};
use dyketally::placement;

use super::{Feed, OUT_OF_TOUCH};
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;

/// Longest time that connecting to a relay may take. Not measured.
pub(super) const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Nodes up to which every node watches the store itself. Not measured.
const SMALL_FLEET: usize = 12;
/// Nodes of a zone that watch the store for the others: one may be lost. Not measured.
const RELAYS_PER_ZONE: usize = 2;
/// Relays of other zones that are followed when none of the own zone can be. Not measured.
const FURTHER_RELAYS: usize = 2;
/// Pause between two rounds of asking seeds. Not measured.
const SEEDS_PAUSE: Duration = Duration::from_millis(250);

impl Feed {
    /// True while every node watches the store itself.
    pub fn is_small_fleet(&self) -> bool {
        self.fleet.membership.node_count() <= SMALL_FLEET
    }

    /// True when this node watches the store for others of its zone.
    pub fn is_relay(&self) -> bool {
        !self.is_small_fleet() && self.is_relay_of_zone()
    }

    fn is_relay_of_zone(&self) -> bool {
        let nodes = self.fleet.membership.nodes();
        let candidates = nodes.values().map(|node| node.candidate());
        let relays = placement::relays(
            &self.cx.settings.own_locality(),
            candidates,
            RELAYS_PER_ZONE,
        );
        relays.contains(&&self.cx.settings.node.name)
    }

    /// True when this node is to have its updates from the store itself: it is a relay, or the failover
    /// coordinator, whose contact rests on its own calls.
    fn is_to_watch(&self) -> bool {
        self.fleet.coordinator.last_term().is_some() || self.is_relay_of_zone()
    }

    /// True when there may be relays that this node should follow: it isn't to watch the store itself, or has
    /// lost it or its own watches while others may not have. A coordinator that followed nobody kept an old
    /// configuration for as long as its lease was renewed while the store refused what it read.
    pub fn may_follow_relays(&self) -> bool {
        // That the store renews a lease doesn't show that updates arrive: a large configuration over a thin
        // link may not, and the relay would act by an old one.
        let is_current =
            !self.cx.has_lost_store_for(OUT_OF_TOUCH) && !self.is_stale_for(OUT_OF_TOUCH);
        let watches = self.is_to_watch() && is_current;
        !self.is_small_fleet() && !watches
    }

    /// True for a node that is to watch the store, which replies to it. If it follows a relay since its own
    /// watch was lost, it should see from time to time whether it can watch again.
    pub(super) fn may_watch_again(&self) -> bool {
        let watches = !self.is_small_fleet() && self.is_to_watch();
        watches && !self.cx.has_lost_store_for(OUT_OF_TOUCH)
    }

    /// Waits until it is clear that this node has no relay to follow. When the whole system starts
    /// the list of the nodes is incomplete for a while, so then only a relay is sure of that.
    pub async fn until_without_relay(&self) {
        loop {
            let changed = self.fleet.membership.nodes_changed.notified();
            let is_known = self.fleet.membership.is_known() && !self.cx.settings.node.first_start;
            if self.is_relay() || (is_known && !self.may_follow_relays()) {
                return;
            }
            changed.await;
        }
    }

    /// The relays that this node may follow, in the order of preference: those of its zone, then
    /// some of others. None in a small fleet, and for a node that watches the store. While it isn't
    /// known which nodes run, those that seeds named.
    pub(super) fn relays_to_follow(&self) -> Vec<SocketAddr> {
        let own = self.cx.settings.listen.peers;
        let usable =
            |address: &SocketAddr| *address != own && !self.upstream.passed_over.contains(address);
        match self.fleet.membership.is_known() {
            false => {
                let named = self.fleet.membership.named_relays().into_iter();
                named.filter(usable).collect()
            }
            true if self.may_follow_relays() => {
                self.ranked_relays(&self.cx.settings.node.zone, usable)
            }
            true => Vec::new(),
        }
    }

    /// The usable relays of this node's zone, the best first; none while it should follow none.
    pub(super) fn relays_of_own_zone(&self) -> Vec<SocketAddr> {
        if !self.fleet.membership.is_known() || !self.may_follow_relays() {
            return Vec::new();
        }
        let nodes = self.fleet.membership.nodes();
        let zone = &self.cx.settings.node.zone;
        let is_near = |relay: &SocketAddr| {
            let node = nodes.values().find(|node| node.address == *relay);
            node.is_some_and(|node| &node.locality.zone == zone)
        };
        self.relays_to_follow()
            .into_iter()
            .filter(is_near)
            .collect()
    }

    /// The relays that a node of `zone` may follow. In a small fleet any node's copy will do.
    pub fn relays_for(&self, zone: &ZoneName) -> Vec<SocketAddr> {
        match self.is_small_fleet() {
            true if self.is_publishing() => vec![self.cx.settings.listen.peers],
            true => Vec::new(),
            false => self.ranked_relays(zone, |_| true),
        }
    }

    /// The usable relays for a node of `zone`, best first: those of the zone, and a few of others, so
    /// that a node which finds all of these out of touch tries further ones next.
    fn ranked_relays(
        &self,
        zone: &ZoneName,
        usable: impl Fn(&SocketAddr) -> bool,
    ) -> Vec<SocketAddr> {
        let nodes = self.fleet.membership.nodes();
        let own = &self.cx.settings.node.name;
        let relays_of = |zone: &ZoneName| {
            let candidates = nodes.values().map(|node| node.candidate());
            placement::relays(
                &self.cx.settings.locality(zone),
                candidates,
                RELAYS_PER_ZONE,
            )
        };
        let mut others: Vec<&NodeName> = Vec::new();
        for other in self.cx.settings.zones.keys().filter(|other| *other != zone) {
            others.extend(relays_of(other));
        }
        let ranked = |relays: &[&NodeName]| -> Vec<SocketAddr> {
            let ranked = placement::preference(own, relays).into_iter();
            let known = ranked.filter_map(|relay| nodes.get(relay));
            known.map(|node| node.address).filter(&usable).collect()
        };
        let mut relays = ranked(&relays_of(zone));
        relays.extend(ranked(&others).into_iter().take(FURTHER_RELAYS));
        relays
    }
}

/// Asks seeds which relays there are until this node follows one, or knows which nodes run.
pub async fn ask_seeds(feed: Rc<Feed>, peers: Rc<Peers>) {
    let message = PeerMessage::RelaysAsked {
        zone: feed.cx.settings.node.zone.clone(),
    };
    let seeds = feed.cx.settings.seeds();
    // The store mostly answers sooner.
    tokio::time::sleep(SEEDS_PAUSE).await;
    while !feed.fleet.membership.is_known() && !feed.has_relay() {
        for seed in &seeds {
            peers.send(*seed, &message);
        }
        tokio::time::sleep(SEEDS_PAUSE).await;
    }
}
