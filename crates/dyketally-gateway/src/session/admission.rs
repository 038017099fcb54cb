//! What an operation may use, and on whose behalf.

use std::rc::Rc;
use std::sync::Arc;

use dyketally::route_policy::RoutePolicy;
use dyketally::statement::FailureKind;
use dyketally::tenant::{ApiKey, Tenant};

use crate::context::Context;
use crate::statement::request::Response;

/// What an operation may use, by the configuration in force as it began.
#[derive(Clone)]
pub(super) struct Admission {
    /// The route.
    pub(super) route: Rc<RoutePolicy>,
    /// Whose operation it is, where callers need a key.
    pub(super) tenant: Option<Arc<Tenant>>,
}

impl Admission {
    /// What a caller with `key` may use that asks for `database`; or the refusal.
    pub(super) fn of(cx: &Context, database: &str, key: &ApiKey) -> Result<Self, Response> {
        let routes = cx.routes();
        let Some(route) = routes.routes.get(database) else {
            return Err(Response::failed(
                FailureKind::UnknownDatabase,
                "no route leads to this database; check its name",
            ));
        };
        if routes.needs_key(route) && !cx.keys_hold() {
            cx.counters.keys_uncertain.add();
            return Err(Response::key_uncertain());
        }
        match routes.identify(route, key) {
            Ok(tenant) => Ok(Self {
                route: Rc::new(route.clone()),
                tenant,
            }),
            Err(unknown) => {
                cx.counters.unknown_keys.add();
                Err(Response::failed(
                    FailureKind::Unauthenticated,
                    &unknown.to_string(),
                ))
            }
        }
    }

    /// True while a transaction that was admitted may go on. It goes on by the configuration that held
    /// as it began, but not while the node can't know whether its key still stands.
    pub(super) fn is_valid(&self, cx: &Context) -> bool {
        self.tenant.is_none() || cx.keys_hold()
    }
}
