//! What can go wrong with a request to the key-value service.

use std::time::Duration;

use super::key_value::LeaseId;

/// Why a request to the key-value service failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The request was not carried out: the service could not be reached, or it only read.
    #[error(
        "the key-value service can't be reached ({reason}) and nothing was changed; check its \
         address and that it runs, then try again"
    )]
    Unavailable {
        /// What the transport or the service reported.
        reason: String,
    },
    /// The answer is longer than the caller wants it.
    #[error(
        "the answer of the key-value service is longer than {longest} bytes; read it without that limit, \
         or have it from another node"
    )]
    LongAnswer {
        /// The limit that the caller set.
        longest: usize,
    },
    /// The request was not carried out because the caller exceeded its rate.
    #[error(
        "the key-value service limits the rate of requests and nothing was changed; try again \
         after {} ms",
        retry_after.as_millis()
    )]
    RateLimited {
        /// How long to wait before the next request.
        retry_after: Duration,
    },
    /// The request was sent and no reply came: the change may or may not have taken effect.
    #[error(
        "no reply from the key-value service ({reason}); the change may or may not have taken \
         effect, so read the key back before trying again"
    )]
    Undetermined {
        /// What the transport or the service reported.
        reason: String,
    },
    /// The history from the revision asked for is no longer kept.
    #[error(
        "the key-value service no longer keeps the revision asked for; read the current keys and \
         watch from their revision"
    )]
    Compacted,
    /// The lease isn't held any more.
    #[error(
        "lease {lease} has lapsed and its keys are deleted; stop acting on it and take a new lease"
    )]
    LeaseLapsed {
        /// The lease.
        lease: LeaseId,
    },
    /// The service refused the request as invalid.
    #[error(
        "the key-value service refused the request ({reason}); check that it speaks version 3 of \
         the gateway and that this node may access the keys"
    )]
    Rejected {
        /// What the service reported.
        reason: String,
    },
    /// The reply isn't one of the gateway's.
    #[error(
        "the reply of the key-value service could not be read ({reason}); check that the address \
         is that of the service's JSON gateway"
    )]
    Malformed {
        /// What could not be read.
        reason: String,
    },
}

impl StoreError {
    /// The store refused the call for a lasting reason.
    pub fn rejected(reason: &str) -> Self {
        Self::Rejected {
            reason: reason.to_owned(),
        }
    }

    /// The store's answer can't be decoded.
    pub fn malformed(error: impl ToString) -> Self {
        Self::Malformed {
            reason: error.to_string(),
        }
    }

    /// True when a change may have taken effect although the request failed.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(
            self,
            StoreError::Undetermined { .. } | StoreError::Malformed { .. }
        )
    }
}
