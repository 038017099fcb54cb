//! Reply data on its way to the edge: passed on at once, or held until the reply is confirmed.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use dyketally_protocol::Completion;
use pgwire::error::ErrorInfo;
use pgwire::messages::Message;
use pgwire::messages::response::ErrorResponse;

use crate::reply::{EdgeGone, ReplySender};

/// Size from which reply data is passed on as a chunk of its own, in bytes.
pub const CHUNK_BYTES: usize = 32 * 1024;

/// Reply data held back for one unconfirmed reply, in bytes. Beyond it rows are passed on, and
/// only the end of the reply is held.
pub const HELD_BYTES: usize = 256 * 1024;

const ERROR_SEVERITY: &str = "ERROR";

/// When reply data is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// As it comes.
    Streamed,
    /// Once the reply is confirmed.
    Held,
}

/// The data of one reply.
#[derive(Debug)]
pub struct ReplyOutput {
    sender: ReplySender,
    delivery: Delivery,
    sealed: VecDeque<Bytes>,
    sealed_bytes: usize,
    open: BytesMut,
    passed_on: bool,
    edge_gone: bool,
}

impl ReplyOutput {
    /// An empty reply.
    pub fn new(sender: ReplySender) -> Self {
        Self {
            sender,
            delivery: Delivery::Streamed,
            sealed: VecDeque::new(),
            sealed_bytes: 0,
            open: BytesMut::new(),
            passed_on: false,
            edge_gone: false,
        }
    }

    /// Sets when data is passed on.
    pub fn set_delivery(&mut self, delivery: Delivery) {
        self.delivery = delivery;
    }

    /// True while data waits until the reply is confirmed.
    pub fn is_held(&self) -> bool {
        self.delivery == Delivery::Held
    }

    /// True once the edge has got part of the data.
    pub fn was_passed_on(&self) -> bool {
        self.passed_on
    }

    /// Adds one whole message.
    pub fn push(&mut self, message: &[u8]) {
        if !self.open.is_empty() && self.open.len() + message.len() > CHUNK_BYTES {
            self.seal();
        }
        self.open.extend_from_slice(message);
    }

    /// Adds an error of the home's own.
    pub fn push_error(&mut self, sqlstate: &str, message: &str) {
        let error = ErrorInfo::new(
            ERROR_SEVERITY.to_owned(),
            sqlstate.to_owned(),
            message.to_owned(),
        );
        let mut encoded = BytesMut::new();
        match ErrorResponse::from(error).encode(&mut encoded) {
            Ok(()) => self.push(&encoded),
            Err(error) => log::error!("an error reply can't be encoded: {error}; report this"),
        }
    }

    /// True when so much data waits that `relay` should be called before more is read.
    pub fn is_full(&self) -> bool {
        match self.delivery {
            Delivery::Streamed => !self.sealed.is_empty(),
            Delivery::Held => self.sealed_bytes > HELD_BYTES,
        }
    }

    /// Passes on what may be passed on; waits while the edge is behind.
    pub async fn relay(&mut self) {
        match self.delivery {
            Delivery::Streamed => self.release().await,
            Delivery::Held if self.sealed_bytes > HELD_BYTES => self.send_sealed().await,
            Delivery::Held => {}
        }
    }

    /// A copy of all data so far, if none was passed on and it is no longer than `longest`.
    pub fn held(&self, longest: usize) -> Option<Vec<u8>> {
        let length = self.sealed_bytes + self.open.len();
        if self.passed_on || length > longest {
            return None;
        }
        let mut data = Vec::with_capacity(length);
        for chunk in &self.sealed {
            data.extend_from_slice(chunk);
        }
        data.extend_from_slice(&self.open);
        Some(data)
    }

    /// Forgets the data that wasn't passed on.
    pub fn discard(&mut self) {
        self.sealed.clear();
        self.sealed_bytes = 0;
        self.open.clear();
    }

    /// Ends the reply, with its data if the statements are done.
    ///
    /// # Errors
    /// The edge has gone: a transaction that the request left open has no owner.
    pub async fn finish(mut self, completion: Completion) -> Result<(), EdgeGone> {
        if matches!(completion, Completion::Done { .. }) {
            self.release().await;
        }
        self.sender.finish(completion)
    }

    async fn release(&mut self) {
        self.seal();
        self.send_sealed().await;
    }

    fn seal(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let chunk = self.open.split().freeze();
        self.sealed_bytes += chunk.len();
        self.sealed.push_back(chunk);
    }

    async fn send_sealed(&mut self) {
        self.sealed_bytes = 0;
        while let Some(chunk) = self.sealed.pop_front() {
            if self.edge_gone {
                continue;
            }
            self.passed_on = true;
            self.edge_gone = self.sender.data(chunk).await.is_err();
        }
    }
}
