//! Pins the bytes of a link to a home: calls, their replies, and the frames that contain them.

use std::borrow::Cow;
use std::collections::BTreeMap;

use bytes::Bytes;
use dyketally::group::{LogPosition, Term};
use dyketally::policy::Access;
use dyketally::statement::{Failure, FailureKind, PreparedStatement, TransactionState};
use dyketally_gateway::database::batch::{Batch, Flow, Reset, SessionContext, Step};
use dyketally_gateway::database::connection::Answer;
use dyketally_gateway::database::connection_request::{ConnectionUse, Refusal};
use dyketally_gateway::fleet::link::{Call, CallReply, frames};
use dyketally_gateway::ports::{DatabaseUser, OwnStatement};

use futures::SinkExt;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

use crate::pin::{Sample, check, check_complete, variants};

const CALLS: &str = include_str!("calls.txt");
const REPLIES: &str = include_str!("call_replies.txt");

variants! {
    uses, ConnectionUse,
    ConnectionUse::Control => "control",
    ConnectionUse::Statements => "statements",
    ConnectionUse::Transaction => "transaction",
}

variants! {
    users, DatabaseUser,
    DatabaseUser::Gateway => "gateway",
    DatabaseUser::Tenant(_) => "tenant",
}

variants! {
    steps, Step,
    Step::Own(_) => "own",
    Step::Run { .. } => "run",
    Step::Execute { .. } => "execute",
}

variants! {
    own_statements, OwnStatement,
    OwnStatement::Begin => "begin",
    OwnStatement::BeginReadOnly { .. } => "begin read only",
    OwnStatement::Rollback => "rollback",
    OwnStatement::Reset => "reset",
    OwnStatement::Set { .. } => "set",
    OwnStatement::Prepare { .. } => "prepare",
    OwnStatement::Status => "status",
    OwnStatement::Suspend { .. } => "suspend",
    OwnStatement::Resume => "resume",
    OwnStatement::StepDown { .. } => "step down",
}

variants! {
    flows, Flow,
    Flow::Together => "together",
    Flow::UntilFailure => "until failure",
}

variants! {
    resets, Reset,
    Reset::Never => "never",
    Reset::AfterFailure => "after failure",
    Reset::Always => "always",
}

variants! {
    accesses, Access,
    Access::Read => "read",
    Access::Write => "write",
}

variants! {
    replies, CallReply,
    CallReply::Answers(_) => "answers",
    CallReply::Refused(_) => "refused",
    CallReply::Leaving => "leaving",
    CallReply::Broken(_) => "broken",
}

variants! {
    states, TransactionState,
    TransactionState::Idle => "idle",
    TransactionState::Open => "open",
    TransactionState::Failed => "failed",
}

variants! {
    failures, FailureKind,
    FailureKind::UnknownDatabase => "unknown database",
    FailureKind::Unauthenticated => "unauthenticated",
    FailureKind::KeyUncertain => "key uncertain",
    FailureKind::QuotaExceeded => "quota exceeded",
    FailureKind::NotServedHere => "not served here",
    FailureKind::Busy => "busy",
    FailureKind::NoConnection => "no connection",
    FailureKind::QueueTooLong => "queue too long",
    FailureKind::DatabaseCold => "database cold",
    FailureKind::Aborted => "aborted",
    FailureKind::ReplicaBehind => "replica behind",
    FailureKind::ReadOnly => "read only",
    FailureKind::WrongDatabase => "wrong database",
    FailureKind::Overloaded => "overloaded",
    FailureKind::InDoubt => "in doubt",
    FailureKind::TimedOut => "timed out",
    FailureKind::Failed => "failed",
    FailureKind::UnknownPrepared => "unknown prepared",
    FailureKind::Malformed => "malformed",
    FailureKind::Other => "other",
}

const POSITION: LogPosition = LogPosition {
    term: Term(4),
    offset: 70_000,
};

fn prepared(access: Access) -> PreparedStatement {
    PreparedStatement {
        access,
        shape: "SELECT $1".to_owned(),
    }
}

fn context(prepared: Option<PreparedStatement>) -> SessionContext {
    let values = [("tz", "UTC"), ("lang", "de")];
    let values = values.map(|(name, value)| (name.to_owned(), value.to_owned()));
    SessionContext {
        values: BTreeMap::from(values).into(),
        prepared,
    }
}

fn call(batch: Batch) -> Call<'static> {
    Call {
        database: "ledger-1-b".into(),
        priority: 2,
        wait_limit_ms: 1_500,
        burst_ms: 250,
        standing_ms: 40,
        connection_use: ConnectionUse::Statements,
        user: None,
        batch: Cow::Owned(batch),
    }
}

fn own(statement: OwnStatement) -> Call<'static> {
    Call {
        connection_use: ConnectionUse::Control,
        ..call(Batch::of_gateway([statement]))
    }
}

fn run_steps() -> Vec<Step> {
    let run = |after| Step::Run {
        id: Bytes::from_static(b"a-1"),
        text: Bytes::from_static(b"READ stock"),
        after,
    };
    vec![run(None), run(Some(POSITION))]
}

fn execute_steps() -> Vec<Step> {
    let execute = |after| Step::Execute {
        id: Bytes::from_static(b"a-2"),
        arguments: "17".to_owned(),
        after,
    };
    vec![execute(None), execute(Some(POSITION))]
}

fn statement_calls() -> Vec<Sample<Call<'static>>> {
    let tenant = Some(DatabaseUser::Tenant("bikes".into()));
    vec![
        (
            "run",
            Call {
                user: Some(DatabaseUser::Gateway),
                ..call(Batch {
                    context: None,
                    steps: run_steps(),
                    flow: Flow::Together,
                    reset: Reset::Never,
                })
            },
        ),
        (
            "execute/read",
            Call {
                user: tenant.clone(),
                connection_use: ConnectionUse::Transaction,
                ..call(Batch {
                    context: Some(context(Some(prepared(Access::Read)))),
                    steps: execute_steps(),
                    flow: Flow::UntilFailure,
                    reset: Reset::AfterFailure,
                })
            },
        ),
        (
            "execute/write",
            Call {
                user: tenant,
                ..call(Batch {
                    context: Some(context(Some(prepared(Access::Write)))),
                    steps: execute_steps(),
                    flow: Flow::UntilFailure,
                    reset: Reset::Always,
                })
            },
        ),
        (
            "context without a prepared statement",
            call(Batch::for_session(context(None), run_steps())),
        ),
    ]
}

fn own_calls() -> Vec<Sample<Call<'static>>> {
    vec![
        ("begin", own(OwnStatement::Begin)),
        (
            "begin read only",
            own(OwnStatement::BeginReadOnly { after: None }),
        ),
        (
            "begin read only/after a position",
            own(OwnStatement::BeginReadOnly {
                after: Some(POSITION),
            }),
        ),
        ("rollback", own(OwnStatement::Rollback)),
        ("reset", own(OwnStatement::Reset)),
        (
            "set",
            own(OwnStatement::Set {
                name: "tz".to_owned(),
                value: "UTC".to_owned(),
            }),
        ),
        (
            "prepare",
            own(OwnStatement::Prepare {
                name: "p0".to_owned(),
                prepared: prepared(Access::Read),
            }),
        ),
        ("status", own(OwnStatement::Status)),
        ("suspend", own(OwnStatement::Suspend { term: 300 })),
        ("resume", own(OwnStatement::Resume)),
        ("step down", own(OwnStatement::StepDown { term: 5 })),
    ]
}

fn calls() -> Vec<Sample<Call<'static>>> {
    let mut calls = statement_calls();
    calls.extend(own_calls());
    calls
}

fn answer(end: Result<Bytes, Failure>, state: TransactionState) -> Answer {
    Answer {
        rows: vec![Bytes::from_static(b"chain"), Bytes::new()],
        end,
        state,
        position: Some(POSITION),
    }
}

fn failed(kind: FailureKind, state: TransactionState) -> Answer {
    let message = "a reason".to_owned();
    answer(Err(Failure { kind, message }), state)
}

fn other_replies() -> Vec<Sample<CallReply>> {
    let signature = || Ok(Bytes::from_static(b"SELECT 2"));
    let silent = Answer {
        rows: Vec::new(),
        position: None,
        ..answer(signature(), TransactionState::Open)
    };
    vec![
        (
            "answers",
            CallReply::Answers(vec![answer(signature(), TransactionState::Idle), silent]),
        ),
        (
            "answers/failed",
            CallReply::Answers(vec![failed(FailureKind::Failed, TransactionState::Failed)]),
        ),
        (
            "refused/unreachable",
            CallReply::Refused(Refusal {
                kind: FailureKind::Busy,
                unreachable: true,
            }),
        ),
        ("leaving", CallReply::Leaving),
        ("broken", CallReply::Broken("closed by the home".to_owned())),
    ]
}

/// Replies that refuse a call, and replies with a failed answer, one of each failure kind.
fn refusals() -> Vec<Sample<CallReply>> {
    let kinds = [
        ("unknown database", FailureKind::UnknownDatabase),
        ("unauthenticated", FailureKind::Unauthenticated),
        ("key uncertain", FailureKind::KeyUncertain),
        ("quota exceeded", FailureKind::QuotaExceeded),
        ("not served here", FailureKind::NotServedHere),
        ("busy", FailureKind::Busy),
        ("no connection", FailureKind::NoConnection),
        ("queue too long", FailureKind::QueueTooLong),
        ("database cold", FailureKind::DatabaseCold),
        ("aborted", FailureKind::Aborted),
        ("replica behind", FailureKind::ReplicaBehind),
        ("read only", FailureKind::ReadOnly),
        ("wrong database", FailureKind::WrongDatabase),
        ("overloaded", FailureKind::Overloaded),
        ("in doubt", FailureKind::InDoubt),
        ("timed out", FailureKind::TimedOut),
        ("failed", FailureKind::Failed),
        ("unknown prepared", FailureKind::UnknownPrepared),
        ("malformed", FailureKind::Malformed),
        ("other", FailureKind::Other),
    ];
    let refused = kinds.into_iter().map(|(label, kind)| {
        let unreachable = false;
        (label, CallReply::Refused(Refusal { kind, unreachable }))
    });
    let answered = kinds.into_iter().map(|(label, kind)| {
        let answer = failed(kind, TransactionState::Idle);
        (label, CallReply::Answers(vec![answer]))
    });
    refused.chain(answered).collect()
}

fn call_replies() -> Vec<Sample<CallReply>> {
    let mut all = other_replies();
    all.extend(refusals());
    all
}

#[test]
fn calls_keep_their_bytes() {
    check(CALLS, &calls());
}

#[test]
fn replies_to_calls_keep_their_bytes() {
    check(REPLIES, &call_replies());
}

#[test]
fn each_part_of_a_call_is_pinned() {
    let calls = calls();
    let calls = || calls.iter().map(|(_, call)| call);
    let all_steps = || calls().flat_map(|call| &call.batch.steps);
    check_complete(
        uses::ALL,
        calls().map(|call| uses::name(&call.connection_use)),
    );
    let users = calls().filter_map(|call| call.user.as_ref());
    check_complete(users::ALL, users.map(users::name));
    check_complete(
        flows::ALL,
        calls().map(|call| flows::name(&call.batch.flow)),
    );
    check_complete(
        resets::ALL,
        calls().map(|call| resets::name(&call.batch.reset)),
    );
    check_complete(steps::ALL, all_steps().map(steps::name));
    let own = all_steps().filter_map(|step| match step {
        Step::Own(statement) => Some(own_statements::name(statement)),
        Step::Run { .. } | Step::Execute { .. } => None,
    });
    check_complete(own_statements::ALL, own);
    let contexts = calls().filter_map(|call| call.batch.context.as_ref());
    let prepared = contexts.filter_map(|context| context.prepared.as_ref());
    let accesses = prepared.map(|prepared| accesses::name(&prepared.access));
    check_complete(accesses::ALL, accesses);
}

#[test]
fn each_part_of_a_reply_is_pinned() {
    let replies = call_replies();
    let names = replies.iter().map(|(_, reply)| replies::name(reply));
    check_complete(replies::ALL, names);
    let refused = replies.iter().filter_map(|(label, reply)| match reply {
        CallReply::Refused(refusal) => Some((*label, refusal.kind)),
        _ => None,
    });
    check_complete(
        failures::ALL,
        refused.map(|(_, kind)| failures::name(&kind)),
    );
    let answers = || {
        replies.iter().flat_map(|(_, reply)| match reply {
            CallReply::Answers(answers) => answers.as_slice(),
            _ => &[],
        })
    };
    check_complete(
        states::ALL,
        answers().map(|answer| states::name(&answer.state)),
    );
    let failed = answers().filter_map(|answer| answer.end.as_ref().err());
    check_complete(
        failures::ALL,
        failed.map(|failure| failures::name(&failure.kind)),
    );
}

#[tokio::test]
async fn frames_have_their_length_in_front() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut accepted, _) = listener.accept().await.expect("a connection");
    let mut sender = frames(stream);
    let sent = sender.send(Bytes::from_static(b"call")).await;
    sent.expect("the frame is sent");
    drop(sender);
    let mut bytes = Vec::new();
    accepted.read_to_end(&mut bytes).await.expect("the frame");
    assert_eq!(bytes, b"\x00\x00\x00\x04call");
}
