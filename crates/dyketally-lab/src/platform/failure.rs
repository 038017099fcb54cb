//! A request that the gateway refuses.

use std::time::Duration;

use axum::Json;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use dyketally_proxy::stores::memory::{Refusal, StateError};
use dyketally_proxy::stores::wire::{COMPACTED_TEXT, ErrorBody, code};

/// Why, as the real service words it.
#[derive(Debug)]
pub(super) struct GatewayFailure {
    status: StatusCode,
    code: i32,
    text: String,
    retry_after: Option<Duration>,
}

impl GatewayFailure {
    fn new(status: StatusCode, code: i32, text: impl Into<String>) -> Self {
        Self {
            status,
            code,
            text: text.into(),
            retry_after: None,
        }
    }

    /// The request isn't one of the gateway's.
    pub(super) fn invalid(error: impl ToString) -> Self {
        let text = error.to_string();
        Self::new(StatusCode::BAD_REQUEST, code::INVALID_ARGUMENT, text)
    }
}

impl From<Refusal> for GatewayFailure {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Unavailable => Self::new(
                StatusCode::SERVICE_UNAVAILABLE,
                code::UNAVAILABLE,
                "etcdserver: the service is unavailable",
            ),
            Refusal::RateLimited { retry_after } => Self {
                retry_after: Some(retry_after),
                ..Self::new(
                    StatusCode::TOO_MANY_REQUESTS,
                    code::RESOURCE_EXHAUSTED,
                    "etcdserver: too many requests",
                )
            },
        }
    }
}

impl From<StateError> for GatewayFailure {
    fn from(error: StateError) -> Self {
        match error {
            StateError::Compacted => Self::new(
                StatusCode::BAD_REQUEST,
                code::OUT_OF_RANGE,
                format!("etcdserver: mvcc: required {COMPACTED_TEXT}"),
            ),
            StateError::LeaseLapsed(_) => Self::new(
                StatusCode::NOT_FOUND,
                code::NOT_FOUND,
                "etcdserver: requested lease not found",
            ),
        }
    }
}

impl IntoResponse for GatewayFailure {
    fn into_response(self) -> Response {
        let body = ErrorBody {
            error: self.text.clone(),
            message: self.text,
            code: self.code,
        };
        let mut response = (self.status, Json(body)).into_response();
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1000) as u64;
            let headers = response.headers_mut();
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
