//! The members of a group as state machines, on a simulated network and clock: whatever is
//! delayed, dropped or restarted, a confirmed write stays, and a term has one primary.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use dyketally::group::{LogPosition, Role, Term};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use dyketally_lab::database::replication::{Member, MemberSettings, Message};
use dyketally_lab::database::{RowChange, RowKey, RowWrite};
use proptest::prelude::*;

const MEMBERS: usize = 3;

#[derive(Debug, Clone)]
enum Action {
    /// Time passes for one member.
    Tick { member: usize, milliseconds: u64 },
    /// Messages of one link arrive.
    Deliver {
        from: usize,
        to: usize,
        count: usize,
    },
    /// The first message of a link is lost.
    Drop { from: usize, to: usize },
    /// A write at a member, if it leads.
    Write { member: usize },
    /// A member stands for election at once.
    Elect { member: usize },
    /// A primary steps down.
    StepDown { member: usize },
    /// A member loses its log, unless another has.
    Restart { member: usize },
}

fn action() -> impl Strategy<Value = Action> {
    let member = 0..MEMBERS;
    let link = (0..MEMBERS, 0..MEMBERS);
    prop_oneof![
        10 => (member.clone(), 1..400_u64)
            .prop_map(|(member, milliseconds)| Action::Tick { member, milliseconds }),
        30 => (link.clone(), 1..6_usize)
            .prop_map(|((from, to), count)| Action::Deliver { from, to, count }),
        3 => link.prop_map(|(from, to)| Action::Drop { from, to }),
        10 => member.clone().prop_map(|member| Action::Write { member }),
        2 => member.clone().prop_map(|member| Action::Elect { member }),
        1 => member.clone().prop_map(|member| Action::StepDown { member }),
        1 => member.prop_map(|member| Action::Restart { member }),
    ]
}

fn name(member: usize) -> DatabaseName {
    DatabaseName::new(format!("m{member}"))
}

fn new_member(member: usize, joining: bool, now: Timestamp) -> Member {
    let others = (0..MEMBERS).filter(|other| *other != member);
    let settings = MemberSettings {
        name: name(member),
        peers: others.map(name).collect(),
        election_timeout: Duration::from_millis(300),
        heartbeat: Duration::from_millis(50),
        joining,
        seed: member as u64,
    };
    Member::new(settings, now)
}

#[derive(Debug, Clone, Copy)]
struct Write {
    number: u64,
    position: LogPosition,
}

struct Simulation {
    now: Timestamp,
    members: Vec<Member>,
    links: BTreeMap<(usize, usize), VecDeque<Message>>,
    primaries: BTreeMap<Term, usize>,
    next_write: u64,
    /// Not confirmed yet.
    writes: Vec<Write>,
    confirmed: Vec<Write>,
}

impl Simulation {
    fn new() -> Self {
        let now = Timestamp::ZERO;
        Self {
            now,
            members: (0..MEMBERS)
                .map(|member| new_member(member, false, now))
                .collect(),
            links: BTreeMap::new(),
            primaries: BTreeMap::new(),
            next_write: 0,
            writes: Vec::new(),
            confirmed: Vec::new(),
        }
    }

    fn perform(&mut self, action: &Action) {
        match *action {
            Action::Tick {
                member,
                milliseconds,
            } => {
                self.now = self.now + Duration::from_millis(milliseconds);
                self.members[member].tick(self.now);
            }
            Action::Deliver { from, to, count } => {
                for _ in 0..count {
                    self.deliver(from, to);
                }
            }
            Action::Drop { from, to } => {
                self.link(from, to).pop_front();
            }
            Action::Write { member } => self.write(member),
            Action::Elect { member } => self.members[member].elect(self.now),
            Action::StepDown { member } => self.members[member].step_down(self.now),
            Action::Restart { member } => self.restart(member),
        }
        self.collect_messages();
        self.confirm();
        self.check();
    }

    fn link(&mut self, from: usize, to: usize) -> &mut VecDeque<Message> {
        self.links.entry((from, to)).or_default()
    }

    fn deliver(&mut self, from: usize, to: usize) {
        if let Some(message) = self.link(from, to).pop_front() {
            let now = self.now;
            self.members[to].receive(now, &name(from), message);
            self.collect_messages();
        }
    }

    fn write(&mut self, member: usize) {
        let number = self.next_write;
        self.next_write += 1;
        let row = RowKey {
            table: "t".into(),
            key: number.to_string(),
        };
        let change = RowChange::Put(None);
        if let Ok(position) = self.members[member].append(vec![RowWrite { row, change }]) {
            self.writes.push(Write { number, position });
        }
    }

    fn restart(&mut self, member: usize) {
        let mut others = (0..MEMBERS).filter(|other| *other != member);
        if others.any(|other| self.members[other].is_joining()) {
            return;
        }
        self.members[member] = new_member(member, true, self.now);
        // Its connections broke.
        self.links
            .retain(|(from, to), _| *from != member && *to != member);
    }

    fn collect_messages(&mut self) {
        for from in 0..MEMBERS {
            for (to, message) in self.members[from].take_outbox() {
                let to = (0..MEMBERS)
                    .find(|member| name(*member) == to)
                    .expect("a member");
                self.link(from, to).push_back(message);
            }
        }
    }

    /// Confirms writes as the proxy does: a majority that includes the primary hold the position
    /// and know no higher term. A member that is joining answers nobody.
    fn confirm(&mut self) {
        let answering = self.members.iter().filter(|member| !member.is_joining());
        let statuses: Vec<_> = answering.map(Member::status).collect();
        for write in &self.writes {
            let holds = statuses.iter().filter(|status| {
                status.term <= write.position.term && status.log.contains(write.position)
            });
            let leads = statuses
                .iter()
                .any(|status| status.role == Role::Primary && status.term == write.position.term);
            if leads && holds.count() > MEMBERS / 2 {
                self.confirmed.push(*write);
            }
        }
        let confirmed = &self.confirmed;
        self.writes
            .retain(|write| confirmed.iter().all(|known| known.number != write.number));
    }

    fn check(&mut self) {
        for (place, member) in self.members.iter().enumerate() {
            let status = member.status();
            if status.role != Role::Primary {
                continue;
            }
            let first = *self.primaries.entry(status.term).or_insert(place);
            assert_eq!(first, place, "two primaries in term {}", status.term.0);
            for write in &self.confirmed {
                let row = RowKey {
                    table: "t".into(),
                    key: write.number.to_string(),
                };
                assert!(
                    status.term < write.position.term || member.store().row(&row).is_some(),
                    "primary of term {} lacks the confirmed write {write:?}",
                    status.term.0
                );
            }
        }
    }

    /// Lets everything arrive, until one primary has copied its log to all.
    fn settle(&mut self) -> bool {
        for _ in 0..2_000 {
            for member in 0..MEMBERS {
                self.perform(&Action::Tick {
                    member,
                    milliseconds: 5,
                });
            }
            for from in 0..MEMBERS {
                for to in 0..MEMBERS {
                    let count = self.link(from, to).len();
                    self.perform(&Action::Deliver { from, to, count });
                }
            }
            let first = self.members[0].status();
            let equal = self.members.iter().all(|member| {
                let status = member.status();
                status.term == first.term && status.log == first.log && !member.is_joining()
            });
            if equal
                && self
                    .members
                    .iter()
                    .any(|member| member.role() == Role::Primary)
            {
                return true;
            }
        }
        false
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn confirmed_writes_stay_and_terms_have_one_primary(
        actions in prop::collection::vec(action(), 1..400),
    ) {
        let mut simulation = Simulation::new();
        for action in &actions {
            simulation.perform(action);
        }
        prop_assert!(simulation.settle(), "the group has no primary that all follow");
        let number_confirmed = simulation.confirmed.len();
        simulation.check();
        prop_assert_eq!(simulation.confirmed.len(), number_confirmed);
    }
}

/// Member 1 has voted for member 2 in term 2 and then lost its log and its memory of the vote.
/// The deposed primary, member 0, hears of nothing and tries to win it over.
#[test]
fn a_member_that_lost_its_log_does_not_follow_a_deposed_primary() {
    let deliver = |from, to| Action::Deliver { from, to, count: 9 };
    let exchange = |one, other| [deliver(one, other), deliver(other, one)];
    let mut actions = vec![Action::Elect { member: 0 }];
    actions.extend(exchange(0, 1));
    actions.push(Action::Elect { member: 2 });
    actions.extend(exchange(2, 1));
    actions.push(Action::Elect { member: 2 });
    actions.extend(exchange(2, 1));
    actions.push(Action::Restart { member: 1 });
    for _ in 0..5 {
        actions.push(Action::Write { member: 0 });
        actions.push(Action::Tick {
            member: 1,
            milliseconds: 60,
        });
        actions.push(Action::Tick {
            member: 0,
            milliseconds: 60,
        });
        actions.extend(exchange(1, 0));
    }
    let mut simulation = Simulation::new();
    for action in &actions {
        simulation.perform(action);
    }
    assert_eq!(simulation.members[2].role(), Role::Primary);
    assert_eq!(simulation.members[0].role(), Role::Primary);
    assert!(simulation.members[1].is_joining());
    assert!(
        simulation.settle(),
        "the group has no primary that all follow"
    );
}

/// Member 2 hears nothing for long and then returns: the others hear a primary and grant nothing.
#[test]
fn a_replica_that_returns_deposes_nobody() {
    let mut simulation = Simulation::new();
    simulation.perform(&Action::Elect { member: 0 });
    assert!(
        simulation.settle(),
        "the group has no primary that all follow"
    );
    let term = simulation.members[0].status().term;
    for member in [2, 2, 2, 0] {
        let milliseconds = 700;
        simulation.perform(&Action::Tick {
            member,
            milliseconds,
        });
    }
    let deliver = |from, to| Action::Deliver { from, to, count: 9 };
    for (from, to) in [(0, 1), (2, 1), (2, 0), (1, 2), (0, 2)] {
        simulation.perform(&deliver(from, to));
    }
    assert!(
        simulation.settle(),
        "the group has no primary that all follow"
    );
    let status = simulation.members[0].status();
    assert_eq!((status.role, status.term), (Role::Primary, term));
}
