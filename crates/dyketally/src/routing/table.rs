//! An edge's routing table: the presumed primary of each group, and the databases that were recently
//! unreachable or behind.

use std::collections::HashMap;
use std::time::Duration;

use crate::group::Term;
use crate::identifiers::{DatabaseName, GroupName, Locality};
use crate::outcome::NotRunReason;
use crate::policy::{Access, DatabasePolicy, GroupPolicy};
use crate::session::Freshness;
use crate::time::Timestamp;

/// Limits on an edge's search for a database that serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteSettings {
    /// Hops (databases asked for one request) before the first pause.
    pub hops_without_pause: u32,
    /// Most hops for one request.
    pub hop_limit: u32,
    /// The first pause; it doubles with each further hop up to [`Self::longest_pause`].
    pub first_pause: Duration,
    /// Longest pause between two hops.
    pub longest_pause: Duration,
    /// Time for which a database that couldn't be reached is ranked behind all reachable ones.
    pub unreachable_for: Duration,
    /// Time for which a replica that lacked a read's position is ranked behind the other replicas.
    pub behind_for: Duration,
}

impl Default for RouteSettings {
    fn default() -> Self {
        Self {
            hops_without_pause: 4,
            hop_limit: 64,
            first_pause: Duration::from_millis(2),
            longest_pause: Duration::from_millis(40),
            unreachable_for: Duration::from_millis(500),
            behind_for: Duration::from_secs(1),
        }
    }
}

/// A request for which a route is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The group that serves the request, as configured.
    pub group: &'a GroupPolicy,
    /// Whether the request reads or writes.
    pub access: Access,
    /// How fresh the database must be.
    pub freshness: Freshness,
    /// Where the edge runs.
    pub locality: &'a Locality,
}

/// The hops of one request so far. The edge keeps it until the request ends.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    hops: u32,
    paused_until: Option<Timestamp>,
    /// The primary must serve the request: a home redirected it, or no replica is fresh enough.
    needs_primary: bool,
    /// The members asked in the current pass over the group. A new pass begins when all have been
    /// asked.
    asked: Vec<DatabaseName>,
}

/// What the edge does next with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Send the request to this database's home.
    Send(DatabaseName),
    /// Call [`RouteTable::choose`] again at this time.
    Wait(Timestamp),
    /// Fail the request, which was not run.
    GiveUp(NotRunReason),
}

/// What the edge knows of one group.
#[derive(Clone, Debug, Default)]
struct GroupRoutes {
    /// The presumed primary.
    primary: Option<DatabaseName>,
    /// The highest term reported so far.
    term: Term,
    unreachable_until: HashMap<DatabaseName, Timestamp>,
    behind_until: HashMap<DatabaseName, Timestamp>,
    /// Number of choices among databases of equal rank so far; rotates between them.
    rotation: usize,
}

/// Routes of one edge, as last reported by homes and databases.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    settings: RouteSettings,
    groups: HashMap<GroupName, GroupRoutes>,
}

impl RouteTable {
    /// An empty table.
    pub fn new(settings: RouteSettings) -> Self {
        let groups = HashMap::new();
        Self { settings, groups }
    }

    /// The primary of `group` as last reported.
    pub fn primary(&self, group: &GroupName) -> Option<&DatabaseName> {
        self.groups.get(group)?.primary.as_ref()
    }

    /// Chooses the next database for a request whose hops so far are in `attempt`.
    pub fn choose(
        &mut self,
        request: RouteRequest<'_>,
        attempt: &mut Attempt,
        now: Timestamp,
    ) -> Route {
        if request.group.members.is_empty() {
            return Route::GiveUp(NotRunReason::NotConfigured);
        }
        if attempt.hops >= self.settings.hop_limit {
            return Route::GiveUp(NotRunReason::NoPrimary);
        }
        if let Some(until) = attempt.paused_until.filter(|until| *until > now) {
            return Route::Wait(until);
        }
        let routes = self.groups.entry(request.group.name.clone()).or_default();
        let at_primary = request.access == Access::Write
            || request.freshness == Freshness::Current
            || attempt.needs_primary;
        let chosen = if at_primary {
            routes.choose_primary(request, attempt, now)
        } else {
            routes.choose_reader(request, attempt, now)
        };
        self.count_hop(attempt, &chosen, request.group.members.len(), now);
        Route::Send(chosen)
    }

    /// Records that a home redirected the request to `primary`, which leads in `term`.
    pub fn redirected(
        &mut self,
        group: &GroupName,
        attempt: &mut Attempt,
        primary: Option<DatabaseName>,
        term: Term,
    ) {
        attempt.needs_primary = true;
        let before = self.primary(group).cloned();
        self.learn_primary(group, primary, term);
        if before.as_ref() != self.primary(group) {
            attempt.asked.clear();
        }
    }

    /// Records that `replica` lacked a read's position. Another replica is asked next; if each was
    /// already asked for this read, is unreachable or was recently behind, the primary is.
    pub fn behind(
        &mut self,
        request: RouteRequest<'_>,
        attempt: &mut Attempt,
        replica: &DatabaseName,
        now: Timestamp,
    ) {
        let until = now + self.settings.behind_for;
        let routes = self.groups.entry(request.group.name.clone()).or_default();
        routes.behind_until.insert(replica.clone(), until);
        let another = request.group.members.iter().any(|member| {
            let name = &member.name;
            let is_primary = routes.primary.as_ref() == Some(name);
            let asked = attempt.asked.contains(name);
            !is_primary && !asked && routes.is_reachable(name, now) && !routes.is_behind(name, now)
        });
        attempt.needs_primary = !another;
    }

    /// Records the primary of `group` in `term`. Reports of a lower term than the highest known one are
    /// ignored.
    pub fn learn_primary(&mut self, group: &GroupName, primary: Option<DatabaseName>, term: Term) {
        let routes = self.groups.entry(group.clone()).or_default();
        if term > routes.term || (term == routes.term && primary.is_some()) {
            routes.term = term;
            routes.primary = primary;
        }
    }

    /// Records that `database` ran a write, so that it is presumed to be the primary. Without this, an
    /// edge whose first guess was right gets no redirect, doesn't know the primary, and would send it
    /// reads that replicas should serve.
    pub fn served_write(&mut self, group: &GroupName, database: &DatabaseName) {
        let routes = self.groups.entry(group.clone()).or_default();
        if routes.primary.as_ref() != Some(database) {
            routes.primary = Some(database.clone());
        }
    }

    /// Records that `database` or its home can't be reached.
    pub fn unreachable(&mut self, group: &GroupName, database: &DatabaseName, now: Timestamp) {
        let until = now + self.settings.unreachable_for;
        let routes = self.groups.entry(group.clone()).or_default();
        routes.unreachable_until.insert(database.clone(), until);
    }

    /// Records that `database` answered.
    pub fn reachable(&mut self, group: &GroupName, database: &DatabaseName) {
        if let Some(routes) = self.groups.get_mut(group) {
            routes.unreachable_until.remove(database);
        }
    }

    /// Records the hop to `chosen`, and sets the pause before the next hop.
    fn count_hop(
        &self,
        attempt: &mut Attempt,
        chosen: &DatabaseName,
        members: usize,
        now: Timestamp,
    ) {
        attempt.hops += 1;
        attempt.asked.push(chosen.clone());
        if attempt.asked.len() >= members {
            attempt.asked.clear();
            // The next pass must not begin with the database that was asked last.
            attempt.asked.push(chosen.clone());
        }
        let Some(doublings) = attempt.hops.checked_sub(self.settings.hops_without_pause) else {
            return;
        };
        let factor = 1_u32.checked_shl(doublings).unwrap_or(u32::MAX);
        let pause = self.settings.first_pause.saturating_mul(factor);
        attempt.paused_until = Some(now + pause.min(self.settings.longest_pause));
    }
}

impl GroupRoutes {
    /// The presumed primary, unless it was asked in this pass or is unreachable; else the nearest other
    /// member.
    fn choose_primary(
        &mut self,
        request: RouteRequest<'_>,
        attempt: &Attempt,
        now: Timestamp,
    ) -> DatabaseName {
        let guess = self.primary.as_ref().filter(|primary| {
            let configured = request.group.members.iter().any(|m| &&m.name == primary);
            configured && !attempt.asked.contains(primary) && self.is_reachable(primary, now)
        });
        match guess {
            Some(primary) => primary.clone(),
            None => self.choose_nearest(request, attempt, now, |_| true),
        }
    }

    /// The nearest replica, in rotation between equals. The primary only if no other member is left.
    fn choose_reader(
        &mut self,
        request: RouteRequest<'_>,
        attempt: &Attempt,
        now: Timestamp,
    ) -> DatabaseName {
        let primary = self.primary.clone();
        self.choose_nearest(request, attempt, now, |member| {
            Some(member) != primary.as_ref()
        })
    }

    /// The member of the best rank: reachable, not yet asked in this pass, `preferred`, not behind and
    /// near, in this order of importance. Rotates between members of equal rank.
    fn choose_nearest(
        &mut self,
        request: RouteRequest<'_>,
        attempt: &Attempt,
        now: Timestamp,
        preferred: impl Fn(&DatabaseName) -> bool,
    ) -> DatabaseName {
        let rank = |member: &DatabasePolicy| {
            let asked = attempt.asked.contains(&member.name);
            let unreachable = !self.is_reachable(&member.name, now);
            let behind = self.is_behind(&member.name, now);
            let distance = Distance::between(&member.locality, request.locality);
            (
                unreachable,
                asked,
                !preferred(&member.name),
                behind,
                distance,
            )
        };
        let best = request.group.members.iter().map(&rank).min();
        let equals = request.group.members.iter();
        let equals: Vec<_> = equals.filter(|member| Some(rank(member)) == best).collect();
        let chosen = equals[self.rotation % equals.len()].name.clone();
        self.rotation = self.rotation.wrapping_add(1);
        chosen
    }

    fn is_reachable(&self, database: &DatabaseName, now: Timestamp) -> bool {
        let until = self.unreachable_until.get(database);
        until.is_none_or(|until| *until <= now)
    }

    fn is_behind(&self, database: &DatabaseName, now: Timestamp) -> bool {
        let until = self.behind_until.get(database);
        until.is_some_and(|until| *until > now)
    }
}

/// How far a database is from the edge, from the nearest to the farthest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

impl Distance {
    fn between(database: &Locality, edge: &Locality) -> Self {
        if database == edge {
            Distance::SameZone
        } else if database.region == edge.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }
}
