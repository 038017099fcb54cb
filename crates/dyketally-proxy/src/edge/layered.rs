//! A service whose requests are each run by one asynchronous function, on a clone of the inner
//! service. What the requests share is kept by the layer.

use std::convert::Infallible;
use std::future::Future;
use std::task::{Context, Poll};

use futures::future::BoxFuture;
use tower::Service;

use super::request::{StatementReply, StatementRequest};

/// What a layer does with one request.
pub trait RunRequest<Inner>: Clone + Send + 'static {
    /// What the layer sends to the inner service.
    type Sent;

    /// Runs `request` by way of `inner`.
    fn run(
        self,
        inner: Inner,
        request: StatementRequest,
    ) -> impl Future<Output = StatementReply> + Send;
}

/// The service that `Layer` makes of an inner service.
#[derive(Clone, Debug)]
pub struct Layered<Layer, Inner> {
    layer: Layer,
    inner: Inner,
}

impl<Layer: Clone, Inner> Layered<Layer, Inner> {
    /// `layer` around `inner`.
    pub(super) fn new(layer: &Layer, inner: Inner) -> Self {
        Self {
            layer: layer.clone(),
            inner,
        }
    }
}

impl<Layer, Inner> Service<StatementRequest> for Layered<Layer, Inner>
where
    Layer: RunRequest<Inner>,
    Inner: Service<Layer::Sent, Error = Infallible> + Clone + Send + 'static,
{
    type Response = StatementReply;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<StatementReply, Infallible>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: StatementRequest) -> Self::Future {
        let inner = self.inner.clone();
        let layer = self.layer.clone();
        Box::pin(async move { Ok(layer.run(inner, request).await) })
    }
}
