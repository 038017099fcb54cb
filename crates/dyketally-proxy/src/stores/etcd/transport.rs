//! One HTTP exchange with the gateway, and what its failure means.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use dyketally_http::{LONGEST_BODY, describe, read_body};
use reqwest::header::{HeaderMap, RETRY_AFTER};
use reqwest::{Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::EtcdSettings;
use crate::stores::key_value::LeaseId;
use crate::stores::store_error::StoreError;
use crate::stores::wire::{COMPACTED_TEXT, ErrorBody, StreamItem, code};

/// Wait after an answer that limits the rate without saying for how long.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Whether a request can change the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    /// It only reads: a failure means that nothing happened.
    Reads,
    /// It changes: a failure after the request was sent leaves open whether it took effect.
    Changes,
}

impl Effect {
    fn failed_after_send(self, reason: String) -> StoreError {
        match self {
            Effect::Reads => StoreError::Unavailable { reason },
            Effect::Changes => StoreError::Undetermined { reason },
        }
    }
}

/// The HTTP client with the endpoint in use.
#[derive(Debug)]
pub(super) struct Transport {
    client: reqwest::Client,
    settings: EtcdSettings,
    endpoint: AtomicUsize,
}

impl Transport {
    pub(super) fn new(settings: EtcdSettings) -> Result<Self, StoreError> {
        if settings.endpoints.is_empty() {
            return Err(StoreError::Unavailable {
                reason: "the settings name no endpoint".into(),
            });
        }
        let client = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(settings.connect_timeout)
            .build()
            .map_err(|error| StoreError::Unavailable {
                reason: describe(&error),
            })?;
        Ok(Self {
            client,
            settings,
            endpoint: AtomicUsize::new(0),
        })
    }

    /// Sends `request`, waits for the response to begin within the time that the settings name, and
    /// reads its one message, which may take longer over a thin link.
    pub(super) async fn call<Reply: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
        effect: Effect,
    ) -> Result<Reply, StoreError> {
        let response = self
            .bounded(self.send(path, request, effect), effect)
            .await?;
        match read_body(response, LONGEST_BODY).await {
            Ok(body) => parse(&body),
            Err(error) => {
                self.try_another_endpoint();
                Err(effect.failed_after_send(error.to_string()))
            }
        }
    }

    /// Like [`Self::call`], for a method whose response is a stream of one message.
    pub(super) async fn call_streamed<Reply: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<Reply, StoreError> {
        let item: StreamItem<Reply> = self.call(path, request, Effect::Changes).await?;
        stream_result(item)
    }

    /// Sends `request` and returns the response for reading its stream.
    pub(super) async fn open(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<Response, StoreError> {
        let exchange = self.send(path, request, Effect::Reads);
        self.bounded(exchange, Effect::Reads).await
    }

    async fn bounded<Reply>(
        &self,
        exchange: impl Future<Output = Result<Reply, StoreError>>,
        effect: Effect,
    ) -> Result<Reply, StoreError> {
        let timeout = self.settings.request_timeout;
        let result = match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => {
                let reason = format!("no answer within {} ms", timeout.as_millis());
                Err(effect.failed_after_send(reason))
            }
        };
        if let Err(StoreError::Unavailable { .. } | StoreError::Undetermined { .. }) = &result {
            self.try_another_endpoint();
        }
        result
    }

    fn try_another_endpoint(&self) {
        self.endpoint.fetch_add(1, Ordering::Relaxed);
    }

    async fn send(
        &self,
        path: &str,
        request: &impl Serialize,
        effect: Effect,
    ) -> Result<Response, StoreError> {
        let url = format!("{}{path}", self.endpoint());
        let response = self.client.post(url).json(request).send().await;
        let response =
            response.map_err(|error| match error.is_connect() || error.is_builder() {
                true => StoreError::Unavailable {
                    reason: describe(&error),
                },
                false => effect.failed_after_send(describe(&error)),
            })?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(refusal(response, effect).await)
    }

    fn endpoint(&self) -> &str {
        let endpoints = &self.settings.endpoints;
        let index = self.endpoint.load(Ordering::Relaxed) % endpoints.len();
        endpoints[index].trim_end_matches('/')
    }
}

/// What an answer other than success means.
async fn refusal(response: Response, effect: Effect) -> StoreError {
    let status = response.status();
    let retry_after = retry_after(response.headers());
    // Where the body can't be read, the status alone says what is wrong.
    let body = response.bytes().await.unwrap_or_default();
    let body: ErrorBody = serde_json::from_slice(&body).unwrap_or_default();
    if status == StatusCode::TOO_MANY_REQUESTS {
        return StoreError::RateLimited { retry_after };
    }
    let reason = format!("{status}: {}", error_text(&body));
    if status.is_server_error() {
        return effect.failed_after_send(reason);
    }
    refusal_of_code(&body, reason)
}

fn refusal_of_code(body: &ErrorBody, reason: String) -> StoreError {
    match body.code {
        code::RESOURCE_EXHAUSTED => StoreError::RateLimited {
            retry_after: DEFAULT_RETRY_AFTER,
        },
        code::OUT_OF_RANGE if error_text(body).contains(COMPACTED_TEXT) => StoreError::Compacted,
        code::NOT_FOUND if error_text(body).contains("lease") => {
            StoreError::LeaseLapsed { lease: LeaseId(0) }
        }
        _ => StoreError::Rejected { reason },
    }
}

fn error_text(body: &ErrorBody) -> &str {
    match body.error.is_empty() {
        true => &body.message,
        false => &body.error,
    }
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers.get(RETRY_AFTER);
    // A time in another form, as a date, counts as none.
    let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
    seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)
}

/// The message of a stream's item.
pub(super) fn stream_result<Message>(item: StreamItem<Message>) -> Result<Message, StoreError> {
    match (item.result, item.error) {
        (Some(message), None) => Ok(message),
        (_, Some(error)) => Err(refusal_of_code(&error, error_text(&error).to_owned())),
        (None, None) => Err(StoreError::Malformed {
            reason: "an item of a stream is empty".into(),
        }),
    }
}

pub(super) fn parse<Message: DeserializeOwned>(body: &[u8]) -> Result<Message, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Malformed {
        reason: error.to_string(),
    })
}
