//! Which route an operation uses, and for which tenant it runs.

use std::rc::Rc;
use std::sync::Arc;

use dyketally::route_policy::RoutePolicy;
use dyketally::statement::FailureKind;
use dyketally::tenant::{ApiKey, Tenant};

use crate::context::Context;
use crate::statement::request::Response;

/// Route and tenant of an operation, by the configuration that was current as it began.
#[derive(Clone)]
pub(super) struct Admission {
    /// The route.
    pub(super) route: Rc<RoutePolicy>,
    /// The caller's tenant, on routes that need an API key.
    pub(super) tenant: Option<Arc<Tenant>>,
}

impl Admission {
    /// Admits a caller with `key` to `database`, or returns the error for the caller.
    pub(super) fn of(cx: &Context, database: &str, key: &ApiKey) -> Result<Self, Response> {
        let routes = cx.routes();
        let Some(route) = routes.routes.get(database) else {
            return Err(Response::failed(
                FailureKind::UnknownDatabase,
                "no route is configured for this database; check its name",
            ));
        };
        if routes.needs_key(route) && !cx.may_trust_keys() {
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

    /// True while an admitted transaction may go on. It keeps the configuration that was current as it began,
    /// but stops while this node can't know whether its API key is still valid.
    pub(super) fn is_valid(&self, cx: &Context) -> bool {
        self.tenant.is_none() || cx.may_trust_keys()
    }
}
