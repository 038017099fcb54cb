//! The home's side of calls: runs the batches of other nodes on connections of this node's pool.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dyketally::admission::QueueTimeouts;
use dyketally::eligibility::{Denial, Intent, Permission, ServingRegions};
use dyketally::statement::FailureKind;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::context::Limit;
use crate::database::batch::{Batch, Reset};
use crate::database::connection::{Disconnected, end_outside_transaction};
use crate::database::connection_request::{ConnectionRequest, Refusal};
use crate::database::target::Target;
use crate::fleet::Fleet;
use crate::fleet::access::{DatabaseAccess, ExchangeError};
use crate::fleet::connection::DatabaseConnection;
use crate::fleet::incoming::{Incoming, IncomingLink};
use crate::fleet::link::{Call, CallReply};

/// How long a call may continue after its link was closed, so that its connection can be reused.
const ABANDONED_LIMIT: Duration = Duration::from_millis(400);

/// A connection that is pinned to a link while a transaction is open on it. Dropping it rolls back the
/// transaction.
struct PinnedConnection {
    checkout: Option<DatabaseConnection>,
    target: Target,
}

impl Drop for PinnedConnection {
    fn drop(&mut self) {
        if let Some(checkout) = self.checkout.take() {
            checkout.roll_back(Reset::Always);
        }
    }
}

/// Counts a running call or an open transaction in [`Fleet::calls`] until it is dropped.
struct CountedCall(Rc<Fleet>);

impl CountedCall {
    fn begin(fleet: &Rc<Fleet>) -> Self {
        fleet.calls.set(fleet.calls.get() + 1);
        Self(fleet.clone())
    }
}

impl Drop for CountedCall {
    fn drop(&mut self) {
        let calls = &self.0.calls;
        calls.set(calls.get() - 1);
    }
}

/// Serves the calls that arrive on one link until the link is closed.
pub async fn serve(access: Rc<DatabaseAccess>, stream: TcpStream) {
    let Ok(caller) = stream.peer_addr() else {
        return;
    };
    let mut link = IncomingLink::new(stream);
    let mut pinned = None;
    let cx = &access.fleet.cx;
    while let Some(incoming) = link.next(&cx.memory).await {
        let (message, _memory) = match incoming {
            Incoming::Call(message, memory) => (message, memory),
            Incoming::OutOfMemory => {
                cx.limit_acted(Limit::Calls, Some(caller));
                if link.reply(&out_of_memory()).await.is_none() {
                    return;
                }
                continue;
            }
        };
        let Ok(call) = postcard::from_bytes::<Call<'_>>(&message) else {
            // Closing the link without a reply leaves the caller to assume that its call may have run.
            return;
        };
        drop(message);
        let _counted = CountedCall::begin(&access.fleet);
        let running = run(&access, pinned.take(), call);
        let Some((reply, kept)) = finish_unless_link_closes(running, &mut link).await else {
            return;
        };
        pinned = kept.map(|kept| (kept, CountedCall::begin(&access.fleet)));
        let Some(length) = link.reply(&reply).await else {
            return;
        };
        access.fleet.count_sent("call_reply", caller, length);
    }
}

/// Waits for a call to finish. Once its link is closed, waits for `ABANDONED_LIMIT` at most and returns
/// `None`.
async fn finish_unless_link_closes<T>(
    running: impl Future<Output = T>,
    link: &mut IncomingLink,
) -> Option<T> {
    tokio::pin!(running);
    tokio::select! {
        biased;
        done = &mut running => return Some(done),
        () = link.closed() => {}
    }
    // A transaction that is still open afterwards is rolled back when its `PinnedConnection` is dropped.
    let _ = tokio::time::timeout(ABANDONED_LIMIT, running).await;
    None
}

async fn run(
    access: &Rc<DatabaseAccess>,
    pinned: Option<(PinnedConnection, CountedCall)>,
    call: Call<'_>,
) -> (CallReply, Option<PinnedConnection>) {
    let is_first = pinned.is_none();
    let mut pinned = match pinned {
        Some((pinned, _)) => pinned,
        None => match pin_connection(access, &call).await {
            Ok(pinned) => pinned,
            Err(reply) => return (reply, None),
        },
    };
    let Some(mut checkout) = pinned.checkout.take() else {
        return (CallReply::Leaving, None);
    };
    let target = pinned.target.clone();
    checkout.wait_for_turn(&call.batch).await;
    let permission = match permission(access, &target, &call.batch, IsFirst(is_first)) {
        Ok(permission) => permission,
        Err(denial) => return (denied(denial), None),
    };
    let exchange = access.exchange(&mut checkout, &target, &call.batch, permission);
    match exchange.await {
        Ok(_) if call.batch.needs_leader() && access.databases.is_fenced(&target.name) => {
            (CallReply::Broken(Disconnected::new_primary().reason), None)
        }
        Ok(answers) => {
            if end_outside_transaction(&answers) {
                checkout.give_back();
                return (CallReply::Answers(answers), None);
            }
            pinned.checkout = Some(checkout);
            (CallReply::Answers(answers), Some(pinned))
        }
        Err(ExchangeError::Lost(broken)) => (CallReply::Broken(broken.reason), None),
        Err(ExchangeError::NotRun(kind)) => {
            let unreachable = false;
            (CallReply::Refused(Refusal { kind, unreachable }), None)
        }
    }
}

/// True for the first batch on a connection, false for a further batch of an open transaction.
struct IsFirst(bool);

/// Obtains permission to run a call's batch at `target`. Serving regions are checked by the calling node.
fn permission(
    access: &DatabaseAccess,
    target: &Target,
    batch: &Batch,
    IsFirst(is_first): IsFirst,
) -> Result<Permission, Denial> {
    let needs_leader = batch.needs_leader();
    if !batch.takes_slot() && !needs_leader {
        return Ok(Permission::control(&target.name));
    }
    let intent = match is_first {
        true => Intent::first(&ServingRegions::anywhere(), needs_leader),
        false => Intent::in_transaction(needs_leader),
    };
    access.databases.permission_to_send(target, &intent)
}

/// The reply to a call that was dropped for lack of memory. An open transaction stands.
fn out_of_memory() -> CallReply {
    CallReply::Refused(Refusal {
        kind: FailureKind::Busy,
        unreachable: false,
    })
}

fn denied(denial: Denial) -> CallReply {
    CallReply::Refused(Refusal::denied(denial))
}

/// Checks a connection out of this node's pool for the first batch on a link.
async fn pin_connection(
    access: &Rc<DatabaseAccess>,
    call: &Call<'_>,
) -> Result<PinnedConnection, CallReply> {
    if access.fleet.cx.stop.is_stopping() {
        return Err(CallReply::Leaving);
    }
    let Some(target) = access.databases.known_target(&call.database) else {
        return Err(CallReply::Refused(Refusal {
            kind: FailureKind::WrongDatabase,
            unreachable: true,
        }));
    };
    // Refuses early. Permission is obtained again before sending, since the call may wait for a connection.
    let permitted = permission(access, &target, &call.batch, IsFirst(true));
    drop(permitted.map_err(denied)?);
    let none = BTreeMap::new();
    let context = call.batch.context.as_ref();
    let values = context.map_or(&none, |context| &context.values);
    let request = ConnectionRequest {
        priority: call.priority,
        deadline: Instant::now() + Duration::from_millis(call.wait_limit_ms.into()),
        queue_timeout: QueueTimeouts {
            burst: Duration::from_millis(call.burst_ms.into()),
            standing: Duration::from_millis(call.standing_ms.into()),
        },
        connection_use: call.connection_use,
        user: call.user.clone(),
        regions: ServingRegions::anywhere(),
    };
    let checkout = access.databases.checkout(&target, values, request);
    match checkout.await {
        Ok(checkout) => Ok(PinnedConnection {
            checkout: Some(DatabaseConnection::Own(checkout)),
            target,
        }),
        Err(refusal) => Err(CallReply::Refused(refusal)),
    }
}
