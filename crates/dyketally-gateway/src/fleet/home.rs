//! The home's side of calls: runs the batches of other nodes on this node's connections.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dyketally::admission::Patience;
use dyketally::eligibility::{Denial, Intent, Permission, ServingRegions};
use dyketally::statement::FailureKind;
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::database::batch::{Batch, Reset};
use crate::database::claim::{Claim, Refusal};
use crate::database::connection::{Broken, leave_idle};
use crate::database::target::Target;
use crate::fleet::Fleet;
use crate::fleet::access::{DatabaseAccess, ExchangeError};
use crate::fleet::connection::DatabaseConnection;
use crate::fleet::link::{Call, CallReply, Frames, frames};

/// How long a call goes on whose link was closed, so that its connection can be kept. Not
/// measured.
const ABANDONED_LIMIT: Duration = Duration::from_millis(400);

/// A connection that is kept for a link while a transaction is open on it. Dropping it drops the
/// transaction.
struct Bound {
    checkout: Option<DatabaseConnection>,
    target: Target,
}

impl Drop for Bound {
    fn drop(&mut self) {
        if let Some(checkout) = self.checkout.take() {
            checkout.roll_back(Reset::Always);
        }
    }
}

/// Counts a call as running, or a transaction as open, until it is dropped.
struct Busy(Rc<Fleet>);

impl Busy {
    fn begin(fleet: &Rc<Fleet>) -> Self {
        fleet.calls.set(fleet.calls.get() + 1);
        Self(fleet.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        let calls = &self.0.calls;
        calls.set(calls.get() - 1);
    }
}

/// Serves the calls of one link until it is closed.
pub async fn serve(access: Rc<DatabaseAccess>, stream: TcpStream) {
    let Ok(caller) = stream.peer_addr() else {
        return;
    };
    let mut frames = frames(stream);
    let mut bound = None;
    while let Some(Ok(message)) = frames.next().await {
        let Ok(call) = postcard::from_bytes::<Call<'_>>(&message) else {
            // Closing the link tells the caller that nothing can be said of its call.
            return;
        };
        let _busy = Busy::begin(&access.fleet);
        let running = run(&access, bound.take(), call);
        let Some((reply, kept)) = unless_abandoned(running, &mut frames).await else {
            return;
        };
        bound = kept.map(|kept| (kept, Busy::begin(&access.fleet)));
        let Ok(message) = postcard::to_stdvec(&reply) else {
            return;
        };
        access.fleet.count_sent("call_reply", caller, message.len());
        if frames.send(Bytes::from(message)).await.is_err() {
            return;
        }
    }
}

/// Waits for a call; once its link is closed, only for a while.
async fn unless_abandoned<T>(running: impl Future<Output = T>, frames: &mut Frames) -> Option<T> {
    tokio::pin!(running);
    tokio::select! {
        biased;
        done = &mut running => return Some(done),
        // Nobody may send before the answer: whatever comes, the link is of no more use.
        _ = frames.next() => {}
    }
    // What is still open afterwards is rolled back as `Bound` is dropped.
    let _ = tokio::time::timeout(ABANDONED_LIMIT, running).await;
    None
}

async fn run(
    access: &Rc<DatabaseAccess>,
    bound: Option<(Bound, Busy)>,
    call: Call<'_>,
) -> (CallReply, Option<Bound>) {
    let begins = bound.is_none();
    let mut bound = match bound {
        Some((bound, _)) => bound,
        None => match bind(access, &call).await {
            Ok(bound) => bound,
            Err(reply) => return (reply, None),
        },
    };
    let Some(mut checkout) = bound.checkout.take() else {
        return (CallReply::Leaving, None);
    };
    let target = bound.target.clone();
    checkout.wait_for_turn(&call.batch).await;
    let permission = match permission(access, &target, &call.batch, Begins(begins)) {
        Ok(permission) => permission,
        Err(denial) => return (denied(denial), None),
    };
    let exchange = access.exchange(&mut checkout, &target, &call.batch, permission);
    match exchange.await {
        Ok(_) if call.batch.needs_leader() && access.databases.is_fenced(&target.name) => {
            (CallReply::Broken(Broken::replaced().reason), None)
        }
        Ok(answers) => {
            if leave_idle(&answers) {
                checkout.give_back();
                return (CallReply::Answers(answers), None);
            }
            bound.checkout = Some(checkout);
            (CallReply::Answers(answers), Some(bound))
        }
        Err(ExchangeError::Lost(broken)) => (CallReply::Broken(broken.reason), None),
        Err(ExchangeError::NotRun(kind)) => {
            let unreachable = false;
            (CallReply::Refused(Refusal { kind, unreachable }), None)
        }
    }
}

/// Whether a call begins something at its database.
struct Begins(bool);

/// Leave to run a call's batch. Where callers may be served was judged by the node that calls.
fn permission(
    access: &DatabaseAccess,
    target: &Target,
    batch: &Batch,
    Begins(begins): Begins,
) -> Result<Permission, Denial> {
    let needs_leader = batch.needs_leader();
    if !batch.takes_slot() && !needs_leader {
        return Ok(Permission::control(&target.name));
    }
    let intent = match begins {
        true => Intent::first(&ServingRegions::anywhere(), needs_leader),
        false => Intent::further(needs_leader),
    };
    access.databases.may_send(target, &intent)
}

fn denied(denial: Denial) -> CallReply {
    CallReply::Refused(Refusal::denied(denial))
}

async fn bind(access: &Rc<DatabaseAccess>, call: &Call<'_>) -> Result<Bound, CallReply> {
    if access.fleet.cx.stop.is_stopping() {
        return Err(CallReply::Leaving);
    }
    let Some(target) = access.databases.known_target(&call.database) else {
        return Err(CallReply::Refused(Refusal {
            kind: FailureKind::WrongDatabase,
            unreachable: true,
        }));
    };
    // It may have to wait for a connection, so it is asked again before it is sent.
    let permitted = permission(access, &target, &call.batch, Begins(true));
    drop(permitted.map_err(denied)?);
    let none = BTreeMap::new();
    let context = call.batch.context.as_ref();
    let values = context.map_or(&none, |context| &context.values);
    let claim = Claim {
        priority: call.priority,
        until: Instant::now() + Duration::from_millis(call.patience_ms.into()),
        patience: Patience {
            burst: Duration::from_millis(call.burst_ms.into()),
            standing: Duration::from_millis(call.standing_ms.into()),
        },
        work: call.work,
        user: call.user.clone(),
        regions: ServingRegions::anywhere(),
    };
    let checkout = access.databases.checkout(&target, values, claim);
    match checkout.await {
        Ok(checkout) => Ok(Bound {
            checkout: Some(DatabaseConnection::Own(checkout)),
            target,
        }),
        Err(refusal) => Err(CallReply::Refused(refusal)),
    }
}
