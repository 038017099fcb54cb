//! The outcome of a publication for each sequence of answers of the key-value service.

use std::time::Duration;

use dyketally::configuration::{
    Observation, PublishOutcome, Publisher, PublisherAnswer, PublisherSettings, PublisherStep,
    Winner,
};
use dyketally::policy::Revision;
use dyketally::time::Timestamp;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use crate::sample::{change, change_id};

const SEEN: u64 = 4;
const OWN: u64 = SEEN + 1;
const OTHER: u64 = 99;

use PublisherAnswer::{Committed, NotCommitted, Undetermined};
use PublisherStep::{Commit, ReadBack};

fn observed(current: u64, following: Option<u64>) -> Observation {
    Observation {
        current: Revision(current),
        following: following.map(winner),
    }
}

fn winner(seed: u64) -> Winner {
    Winner {
        change_id: change_id(seed),
        author: "another operator".into(),
        revision: Revision(OWN),
    }
}

fn refused(current: u64, following: Option<u64>) -> PublisherAnswer {
    NotCommitted(observed(current, following))
}

fn read(current: u64, following: Option<u64>) -> PublisherAnswer {
    PublisherAnswer::Read(observed(current, following))
}

fn failed() -> PublisherAnswer {
    PublisherAnswer::Failed {
        retry_after: Duration::ZERO,
    }
}

fn accepted() -> PublishOutcome {
    PublishOutcome::Accepted {
        revision: Revision(OWN),
    }
}

fn conflict(current: u64) -> PublishOutcome {
    PublishOutcome::Conflict {
        winner: winner(OTHER),
        current: Revision(current),
    }
}

/// Feeds `answers` to a publisher, advancing the clock whenever it waits. Returns the publisher's calls to the service,
/// and its outcome, or `None` if the answers run out first.
fn run(answers: Vec<PublisherAnswer>) -> (Vec<PublisherStep>, Option<PublishOutcome>) {
    let mut now = Timestamp::ZERO;
    let mut random = StdRng::seed_from_u64(1);
    let settings = PublisherSettings::default();
    let mut publisher = Publisher::new((*change(OWN)).clone(), settings, now);
    let mut steps = Vec::new();
    let mut step = publisher.resume();
    let mut answers = answers.into_iter();
    loop {
        match step {
            PublisherStep::Finished(outcome) => return (steps, Some(outcome)),
            PublisherStep::WaitUntil(until) => {
                assert!(until >= now);
                now = until;
                step = publisher.resume();
            }
            Commit | ReadBack => {
                steps.push(step);
                let Some(answer) = answers.next() else {
                    return (steps, None);
                };
                step = publisher.answer(answer, now, &mut random);
            }
        }
    }
}

#[rstest]
#[case::at_once(vec![Committed], &[Commit], accepted())]
#[case::two_operators_at_once(vec![refused(5, Some(OTHER))], &[Commit], conflict(5))]
#[case::operator_saw_an_old_revision(vec![refused(9, Some(OTHER))], &[Commit], conflict(9))]
#[case::lost_reply_then_found(
    vec![Undetermined, read(5, Some(OWN))],
    &[Commit, ReadBack],
    accepted()
)]
#[case::lost_reply_and_later_changes(
    vec![Undetermined, read(8, Some(OWN))],
    &[Commit, ReadBack],
    accepted()
)]
#[case::lost_request_then_sent_again(
    vec![Undetermined, read(4, None), Committed],
    &[Commit, ReadBack, Commit],
    accepted()
)]
#[case::late_request_takes_effect_before_the_second(
    vec![Undetermined, read(4, None), refused(5, Some(OWN))],
    &[Commit, ReadBack, Commit],
    accepted()
)]
#[case::lost_request_and_another_wins(
    vec![Undetermined, read(5, Some(OTHER))],
    &[Commit, ReadBack],
    conflict(5)
)]
#[case::another_wins_between_reading_and_sending_again(
    vec![Undetermined, read(4, None), refused(5, Some(OTHER))],
    &[Commit, ReadBack, Commit],
    conflict(5)
)]
#[case::lost_reply_twice(
    vec![Undetermined, read(4, None), Undetermined, read(5, Some(OWN))],
    &[Commit, ReadBack, Commit, ReadBack],
    accepted()
)]
#[case::rate_limited_then_accepted(vec![failed(), Committed], &[Commit, Commit], accepted())]
#[case::outage_while_in_doubt(
    vec![Undetermined, failed(), failed(), read(5, Some(OWN))],
    &[Commit, ReadBack, ReadBack, ReadBack],
    accepted()
)]
#[case::service_lost_changes(
    vec![refused(2, None)],
    &[Commit],
    PublishOutcome::ServiceBehind { current: Revision(2) }
)]
fn a_publication_ends_as_the_service_decides(
    #[case] answers: Vec<PublisherAnswer>,
    #[case] steps: &[PublisherStep],
    #[case] outcome: PublishOutcome,
) {
    assert_eq!(run(answers), (steps.to_vec(), Some(outcome)));
}

#[rstest]
#[case::no_request_can_have_taken_effect(failed(), false)]
#[case::a_request_may_have_taken_effect(Undetermined, true)]
fn an_outage_ends_in_unavailable_and_reports_a_possible_acceptance(
    #[case] first: PublisherAnswer,
    #[case] may_be_accepted: bool,
) {
    let mut answers = vec![first];
    answers.resize(1000, failed());
    let (steps, outcome) = run(answers);
    assert_eq!(
        outcome,
        Some(PublishOutcome::Unavailable { may_be_accepted })
    );
    assert!(
        steps.len() < 100,
        "{} requests without an answer",
        steps.len()
    );
}

#[test]
fn an_undetermined_publication_is_sent_again_until_the_wait_limit() {
    let answers = (0..500).flat_map(|_| [Undetermined, read(4, None)]);
    let (steps, outcome) = run(answers.collect());
    let may_be_accepted = true;
    assert_eq!(
        outcome,
        Some(PublishOutcome::Unavailable { may_be_accepted })
    );
    assert!(steps.len() > 4);
}
