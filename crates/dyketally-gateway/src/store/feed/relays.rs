//! Determines which nodes are relays, and which of them this node may follow. Owns nothing; relies on the list of
//! nodes, on whether this node is the failover coordinator, and on how long its own watches have been inactive.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dyketally::identifiers::{NodeName, ZoneName};
use dyketally::placement;
use dyketally::retry::Backoff;

use super::{CONTACT_LOST_AGE, Feed};
use crate::fleet::message::PeerMessage;
use crate::fleet::peer::Peers;

/// Timeout for connecting to a relay.
pub(super) const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Number of nodes up to which a fleet is small: every node watches the store itself.
const SMALL_FLEET_NODES: usize = 12;
/// Number of relays in each zone: with two, one may fail.
const RELAYS_PER_ZONE: usize = 2;
/// Number of relays of other zones that a node may try when it can follow none of its own zone.
const OTHER_ZONE_RELAYS: usize = 2;
/// Pause before each request for relays: all nodes may start together, and ask the same few.
const RELAYS_REQUEST_PAUSE: Backoff = Backoff {
    first: Duration::from_millis(250),
    longest: Duration::from_secs(1),
};

impl Feed {
    /// True while the fleet is so small that every node watches the store itself.
    pub fn is_small_fleet(&self) -> bool {
        self.fleet.membership.node_count() <= SMALL_FLEET_NODES
    }

    /// True when this node is a relay: it watches the store for the other nodes of its zone.
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

    /// True when this node should get its updates from the store itself: it is a relay of its zone, or the failover
    /// coordinator, for which only its own calls count as contact.
    fn should_watch_store(&self) -> bool {
        self.fleet.coordinator.last_term().is_some() || self.is_relay_of_zone()
    }

    /// True when this node should follow a relay if there is one: it isn't meant to watch the store itself, or it has
    /// lost the store or one of its watches, which other nodes may still have. This holds for the coordinator, too:
    /// without a relay it would keep an old configuration while the store renews its lease but refuses its reads.
    pub fn may_follow_relays(&self) -> bool {
        // A renewed lease doesn't show that updates arrive, too: a large configuration may not get through a slow
        // link, and a relay that relied on its lease would keep using an old one.
        let is_current = !self.cx.has_lost_store_for(CONTACT_LOST_AGE)
            && !self.has_lost_watch_for(CONTACT_LOST_AGE);
        let watches = self.should_watch_store() && is_current;
        !self.is_small_fleet() && !watches
    }

    /// True when this node should watch the store itself and the store replies to it. If it follows a relay because
    /// its own watch was lost, it tries to watch the store again from time to time.
    pub(super) fn may_retry_watch(&self) -> bool {
        let watches = !self.is_small_fleet() && self.should_watch_store();
        watches && !self.cx.has_lost_store_for(CONTACT_LOST_AGE)
    }

    /// Waits while this node has the list of nodes or follows a relay.
    async fn until_nodes_unknown(&self) {
        loop {
            let changed = self.fleet.membership.nodes_changed.notified();
            if !self.fleet.membership.is_known() && !self.has_relay() {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = self.relay_changes() => {}
            }
        }
    }

    /// Waits until it is certain that this node has no relay to follow. At the first start of the whole system the
    /// list of nodes is incomplete for a while, so only a relay can be certain then.
    pub async fn until_no_relay_needed(&self) {
        loop {
            let changed = self.fleet.membership.nodes_changed.notified();
            let is_known = self.fleet.membership.is_known() && !self.cx.settings.node.first_start;
            if self.is_relay() || (is_known && !self.may_follow_relays()) {
                return;
            }
            changed.await;
        }
    }

    /// The relays that this node may follow, in order of preference: those of its zone, then some of other zones.
    /// Empty in a small fleet and for a node that should watch the store. While the list of nodes is unknown, these
    /// are the relays that other nodes named.
    pub(super) fn relays_to_follow(&self) -> Vec<SocketAddr> {
        let own = self.cx.settings.listen.peers;
        let usable =
            |address: &SocketAddr| *address != own && !self.upstream.excluded.contains(address);
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

    /// The relays of this node's zone that it may follow, in order of preference; empty while it should follow none.
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

    /// The peer addresses of the relays that a node of `zone` may follow. In a small fleet, which has no relays, this
    /// node names itself if it can have followers. A node that doesn't know the list of nodes yet reads it to answer
    /// the next request.
    pub fn relays_for(&self, zone: &ZoneName) -> Vec<SocketAddr> {
        self.want_nodes();
        match self.is_small_fleet() {
            true if self.is_publishing() => vec![self.cx.settings.listen.peers],
            true => Vec::new(),
            false => self.ranked_relays(zone, |_| true),
        }
    }

    /// The relays for a node of `zone` that `usable` accepts, in order of preference: those of the zone, then a few of
    /// other zones. A node that finds all of these out of contact gets further ones at its next search, since the first
    /// ones are excluded by then.
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
        relays.extend(ranked(&others).into_iter().take(OTHER_ZONE_RELAYS));
        relays
    }
}

/// Requests the relays from the seeds and from the failover coordinator while this node neither follows one nor has the
/// list of nodes, forever.
pub async fn request_relays(feed: Rc<Feed>, peers: Rc<Peers>) {
    let message = PeerMessage::RelaysRequest {
        zone: feed.cx.settings.node.zone.clone(),
    };
    let seeds = feed.cx.settings.seeds();
    let mut requests = 0;
    loop {
        // The store usually answers within the first pause, and nobody needs to be asked then.
        tokio::time::sleep(RELAYS_REQUEST_PAUSE.delay(requests + 1, &mut rand::rng())).await;
        if feed.fleet.membership.is_known() || feed.has_relay() {
            requests = 0;
            feed.until_nodes_unknown().await;
            continue;
        }
        for node in seeds
            .iter()
            .copied()
            .chain(feed.fleet.coordinator.address())
        {
            peers.send(node, &message);
        }
        requests += 1;
    }
}
