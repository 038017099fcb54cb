//! An edge's guesses: who leads each group, and which databases can't be reached.

use std::collections::HashMap;
use std::time::Duration;

use crate::group::Term;
use crate::identifiers::{DatabaseName, GroupName, Locality};
use crate::outcome::NotRunReason;
use crate::policy::{Access, DatabasePolicy, GroupPolicy};
use crate::session::Freshness;
use crate::time::Timestamp;

/// Bounds on how an edge looks for a database that serves a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteSettings {
    /// Databases asked one after the other without a pause.
    pub hops_without_pause: u32,
    /// Databases asked for one request in all.
    pub hop_limit: u32,
    /// Pause between further databases; doubles up to [`Self::longest_pause`].
    pub first_pause: Duration,
    /// Longest pause.
    pub longest_pause: Duration,
    /// How long a database that couldn't be reached is passed over.
    pub unreachable_for: Duration,
    /// How long a replica that was too far behind for a read comes after the others.
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

/// What a route is wanted for.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The group, as configured.
    pub group: &'a GroupPolicy,
    /// Whether the request reads or writes.
    pub access: Access,
    /// How fresh a database must be.
    pub freshness: Freshness,
    /// Where the edge runs.
    pub locality: &'a Locality,
}

/// Where one request has been sent so far. Kept by the edge while the request lasts.
#[derive(Clone, Debug, Default)]
pub struct Attempt {
    hops: u32,
    paused_until: Option<Timestamp>,
    /// All replicas were too far behind: the primary must serve the request.
    needs_primary: bool,
    /// Asked since the last time that all members were asked.
    asked: Vec<DatabaseName>,
}

/// What the edge does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Route {
    /// Send the request to this database's home.
    Send(DatabaseName),
    /// Choose again at this time.
    Wait(Timestamp),
    /// Give up: nothing was run.
    GiveUp(NotRunReason),
}

#[derive(Clone, Debug, Default)]
struct GroupRoutes {
    primary: Option<DatabaseName>,
    /// The highest term that a redirect named.
    term: Term,
    unreachable_until: HashMap<DatabaseName, Timestamp>,
    behind_until: HashMap<DatabaseName, Timestamp>,
    reads: usize,
}

/// Cached routes of one edge.
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

    /// The primary as last heard of.
    pub fn primary(&self, group: &GroupName) -> Option<&DatabaseName> {
        self.groups.get(group)?.primary.as_ref()
    }

    /// Chooses the database to ask next for a request that was sent along `attempt` so far.
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

    /// Notes that a home sent the request on to `primary`, which leads in `term`.
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

    /// Notes that `replica` was too far behind to serve a read. Another replica is asked next,
    /// unless each was asked for this read or was behind a moment ago: then the primary is.
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

    /// Notes who leads `group` in `term`, from whatever source. Earlier terms are not news.
    pub fn learn_primary(&mut self, group: &GroupName, primary: Option<DatabaseName>, term: Term) {
        let routes = self.groups.entry(group.clone()).or_default();
        if term > routes.term || (term == routes.term && primary.is_some()) {
            routes.term = term;
            routes.primary = primary;
        }
    }

    /// Notes that `database` ran a write, so that it leads for all that is known. Without this, an
    /// edge whose first guess was right would never know the primary, and read from it.
    pub fn served_write(&mut self, group: &GroupName, database: &DatabaseName) {
        let routes = self.groups.entry(group.clone()).or_default();
        if routes.primary.as_ref() != Some(database) {
            routes.primary = Some(database.clone());
        }
    }

    /// Notes that `database`, or its home, can't be reached.
    pub fn unreachable(&mut self, group: &GroupName, database: &DatabaseName, now: Timestamp) {
        let until = now + self.settings.unreachable_for;
        let routes = self.groups.entry(group.clone()).or_default();
        routes.unreachable_until.insert(database.clone(), until);
    }

    /// Notes that `database` answered.
    pub fn reachable(&mut self, group: &GroupName, database: &DatabaseName) {
        if let Some(routes) = self.groups.get_mut(group) {
            routes.unreachable_until.remove(database);
        }
    }

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
            // The last one asked is not asked again at once.
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
    /// The primary as guessed, unless it has just been asked; else the nearest other member.
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

    /// A replica: one of the nearest, in turn. The primary only when nothing else is left.
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
        let chosen = equals[self.reads % equals.len()].name.clone();
        self.reads = self.reads.wrapping_add(1);
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

/// How far a database is from the edge. In order of preference.
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
