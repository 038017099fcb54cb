//! Stateful fuzzing of failover decisions. Holders of the duty of replacing primaries are paused and replaced,
//! appointments are carried out late, and replicas receive commits at different times. With a mechanism switched off,
//! the oracle must find a violation.

use dyketally::failover::{Appointments, Candidate, Succession, TokenUse, choose_successor};
use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::{DatabaseName, GroupName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEEDS: u64 = 2_000;
const STEPS: usize = 60;
const DATABASES: [&str; 3] = ["a", "b", "c"];

/// The token mechanism that a run switches off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TokenFault {
    Nothing,
    /// A token is used again for further appointments.
    NeverRenewed,
    /// The service carries out appointments whatever their token.
    Unfenced,
}

/// An appointment that was sent and has yet to be carried out.
#[derive(Clone, Debug)]
struct Appointment {
    token: u64,
    /// The number of the decision that the appointment carries out.
    decided: usize,
    database: DatabaseName,
}

struct Holder {
    token: u64,
    appointments: Appointments,
}

struct Duty {
    fault: TokenFault,
    random: StdRng,
    next_token: u64,
    holder: Holder,
    pending: Vec<Appointment>,
    /// The greatest token that the service has seen in an appointment.
    fence: u64,
    decisions: usize,
    /// The number of the latest decision that has taken effect.
    acknowledged: usize,
    leading: Option<DatabaseName>,
}

impl Duty {
    fn new(seed: u64, fault: TokenFault) -> Self {
        Self {
            fault,
            random: StdRng::seed_from_u64(seed),
            next_token: 2,
            holder: Holder {
                token: 1,
                appointments: Appointments::default(),
            },
            pending: Vec::new(),
            fence: 0,
            decisions: 0,
            acknowledged: 0,
            leading: None,
        }
    }

    fn fresh_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    /// The holder of the duty decides on a database and sends its appointment.
    fn decide(&mut self) {
        let group = GroupName::from("orders");
        let database = DatabaseName::from(DATABASES[self.random.random_range(0..3)]);
        let held = self.holder.token;
        let token_use = self.holder.appointments.token_use(&group, &database, held);
        if token_use == TokenUse::Renew && self.fault != TokenFault::NeverRenewed {
            self.holder.token = self.fresh_token();
        }
        let token = self.holder.token;
        self.holder
            .appointments
            .record_appointment(&group, &database, token);
        self.decisions += 1;
        self.pending.push(Appointment {
            token,
            decided: self.decisions,
            database,
        });
    }

    /// Another node takes the duty over.
    fn take_over(&mut self) {
        let token = self.fresh_token();
        self.holder = Holder {
            token,
            appointments: Appointments::default(),
        };
    }

    /// Carries out a random pending appointment. Returns a violation if it undoes a later decision that has taken
    /// effect.
    fn carry_out(&mut self) -> Option<String> {
        if self.pending.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..self.pending.len());
        let call = self.pending.swap_remove(index);
        if call.token < self.fence && self.fault != TokenFault::Unfenced {
            return None;
        }
        self.fence = self.fence.max(call.token);
        let late = call.decided < self.acknowledged;
        if late && self.leading.as_ref() != Some(&call.database) {
            return Some(format!("{call:?} undid decision {}", self.acknowledged));
        }
        self.acknowledged = self.acknowledged.max(call.decided);
        self.leading = Some(call.database);
        None
    }
}

fn first_undone_decision(fault: TokenFault) -> Option<String> {
    (0..SEEDS).find_map(|seed| {
        let mut duty = Duty::new(seed, fault);
        (0..STEPS).find_map(|_| {
            match duty.random.random_range(0..10) {
                0..=3 => duty.decide(),
                4 => duty.take_over(),
                _ => {
                    return duty
                        .carry_out()
                        .map(|undone| format!("seed {seed}: {undone}"));
                }
            }
            None
        })
    })
}

#[test]
fn a_late_appointment_never_undoes_a_later_one() {
    assert_eq!(first_undone_decision(TokenFault::Nothing), None);
}

#[rstest]
#[case(TokenFault::NeverRenewed)]
#[case(TokenFault::Unfenced)]
fn a_token_mechanism_that_is_switched_off_is_noticed(#[case] fault: TokenFault) {
    assert!(
        first_undone_decision(fault).is_some(),
        "{fault:?} went unnoticed"
    );
}

/// The mechanism in the choice of a successor that a run switches off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChoiceFault {
    Nothing,
    /// The choice assumes that no replica acknowledges commits.
    AcknowledgingIgnored,
    /// The first candidate whose log is known is promoted.
    FirstCandidateTaken,
}

/// Plays one run: each commit is received by at least `acknowledging` replicas before it is acknowledged; then the
/// primary is lost and some replicas don't answer. Returns a description if the successor lacks acknowledged commits.
fn lost_commits(seed: u64, fault: ChoiceFault) -> Option<String> {
    let mut random = StdRng::seed_from_u64(seed);
    let replicas = random.random_range(1..4_usize);
    let acknowledging = random.random_range(1..=replicas);
    let mut received = vec![0_u64; replicas];
    let mut acknowledged = 0;
    for commit in 1..=random.random_range(1..20_u64) {
        let mut order: Vec<usize> = (0..replicas).collect();
        for index in (1..replicas).rev() {
            order.swap(index, random.random_range(0..=index));
        }
        let reached = random.random_range(0..=replicas);
        for replica in &order[..reached] {
            received[*replica] = commit;
        }
        let holding = received.iter().filter(|length| **length >= commit).count();
        if holding < acknowledging {
            break;
        }
        acknowledged = commit;
    }
    let candidates: Vec<Candidate> = received
        .iter()
        .enumerate()
        .map(|(number, length)| Candidate {
            name: DATABASES[number].into(),
            received: random.random_bool(0.7).then_some(LogPosition {
                term: Term(1),
                offset: *length,
            }),
            ready: random.random_bool(0.8),
            cold: random.random_bool(0.3),
            preference: random.random_range(0..3),
        })
        .collect();
    let assumed_acknowledging = match fault {
        ChoiceFault::AcknowledgingIgnored => 0,
        _ => acknowledging,
    };
    let choice = match fault {
        ChoiceFault::FirstCandidateTaken => candidates
            .iter()
            .find(|candidate| candidate.received.is_some())
            .map_or(Succession::NoCandidate, |candidate| {
                Succession::Promote(candidate.name.clone())
            }),
        _ => choose_successor(&candidates, replicas, assumed_acknowledging),
    };
    let Succession::Promote(name) = choice else {
        return None;
    };
    let chosen = candidates.iter().find(|candidate| candidate.name == name)?;
    let length = chosen.received?.offset;
    let lost = length < acknowledged;
    lost.then(|| format!("seed {seed}: {name} has {length} of {acknowledged}: {candidates:?}"))
}

#[test]
fn the_successor_holds_every_acknowledged_commit() {
    let lost = (0..20_000).find_map(|seed| lost_commits(seed, ChoiceFault::Nothing));
    assert_eq!(lost, None);
}

#[rstest]
#[case(ChoiceFault::AcknowledgingIgnored)]
#[case(ChoiceFault::FirstCandidateTaken)]
fn a_choice_mechanism_that_is_switched_off_is_noticed(#[case] fault: ChoiceFault) {
    let lost = (0..20_000).find_map(|seed| lost_commits(seed, fault));
    assert!(lost.is_some(), "{fault:?} went unnoticed");
}
