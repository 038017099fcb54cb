//! The completion that a caller receives when a statement is retried after an attempt of unknown outcome.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dyketally::group::{LogPosition, Term};
use dyketally::identifiers::{DatabaseName, NodeName, SessionId};
use dyketally::outcome::{NotRunReason, UnknownReason};
use dyketally::policy::{Access, GroupPolicy, Repeat, StatementPolicy, Urgency};
use dyketally::retry::{Retrier, RetrySettings};
use dyketally_protocol::{Completion, Freshness, StatementBatch, TransactionStatus};
use dyketally_proxy::edge::{ReplyStart, RetryLayer, StatementReply, StatementRequest};
use rstest::rstest;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tower::{Layer, ServiceExt, service_fn};

const LOST: Completion = Completion::Unknown {
    reason: UnknownReason::HomeLost,
};
const REFUSED: Completion = Completion::NotRun {
    reason: NotRunReason::QueueFull,
    retry_after: None,
};
const DONE: Completion = Completion::Done {
    seen: None,
    transaction: TransactionStatus::Idle,
};

fn request(access: Access, repeat: Repeat) -> StatementRequest {
    let deadline = Duration::from_secs(60);
    let seen = LogPosition {
        term: Term(1),
        offset: 1,
    };
    StatementRequest {
        group: Arc::new(GroupPolicy {
            name: "stock".into(),
            members: Vec::new(),
            status_statement: String::new(),
            ledger_table: String::new(),
        }),
        tenant: "shops".into(),
        session: SessionId {
            edge: NodeName::from("edge"),
            incarnation: 0,
            number: 0,
        },
        transaction: None,
        policy: StatementPolicy {
            access,
            urgency: Urgency::Normal,
            repeat,
            deadline,
        },
        freshness: Freshness::AtLeast(seen),
        deadline: Instant::now() + deadline,
        batch: StatementBatch::default(),
        cancelled: CancellationToken::new(),
    }
}

/// Returns the completion that the caller receives when the attempts end as listed in `attempts`.
async fn caller_completion(request: StatementRequest, attempts: &[Completion]) -> Completion {
    let attempts = Arc::new(Mutex::new(VecDeque::from(attempts.to_vec())));
    let inner = service_fn(move |_: StatementRequest| {
        let next = attempts.lock().unwrap().pop_front();
        let completion = next.expect("at most as many attempts as listed");
        async move {
            Ok::<_, Infallible>(StatementReply {
                database: DatabaseName::from("a"),
                home: None,
                start: ReplyStart::Ended(completion),
            })
        }
    });
    let retrier = Retrier::new(RetrySettings::default());
    let Ok(reply) = RetryLayer::new(retrier).layer(inner).oneshot(request).await;
    match reply.start {
        ReplyStart::Ended(completion) => completion,
        ReplyStart::Data { .. } => panic!("no data was sent"),
    }
}

#[rstest]
#[case::refused_at_once(Access::Write, Repeat::Repeatable, &[REFUSED], REFUSED)]
#[case::repeated(Access::Write, Repeat::Repeatable, &[LOST, DONE], DONE)]
#[case::refused_after_it_may_have_run(Access::Write, Repeat::Repeatable, &[LOST, REFUSED], LOST)]
#[case::redirected_after_it_may_have_run(Access::Write, Repeat::Repeatable, &[LOST, Completion::Redirect { primary: None, term: Term(1) }], LOST)]
#[case::never_repeated(Access::Write, Repeat::Never, &[LOST], LOST)]
#[case::recorded_is_left_to_its_home(Access::Write, Repeat::Recorded, &[LOST], LOST)]
#[case::read_changes_nothing(Access::Read, Repeat::Never, &[LOST, REFUSED], REFUSED)]
#[tokio::test]
async fn a_second_attempt_does_not_hide_the_first(
    #[case] access: Access,
    #[case] repeat: Repeat,
    #[case] attempts: &[Completion],
    #[case] expected: Completion,
) {
    assert_eq!(
        caller_completion(request(access, repeat), attempts).await,
        expected
    );
}
