//! Sessions that have something at this home: requests in flight, or a transaction on a
//! connection that is pinned to them.

use std::collections::HashMap;
use std::time::Duration;

use dyketally::group::Term;
use dyketally::identifiers::SessionId;
use dyketally::time::Timestamp;

use super::grant::PooledConnection;

/// Order in which requests arrived at the home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival(pub u64);

/// A connection with an open transaction.
#[derive(Debug)]
pub struct Pin {
    /// The connection.
    pub connection: PooledConnection,
    /// The request that opened the transaction.
    pub opened_by: Arrival,
    /// The session's number for the transaction; known once the session goes on with it.
    pub number: Option<u64>,
    /// The request that used the connection last.
    pub last_used_by: Arrival,
    /// The term in which the database was known to lead when the transaction was opened.
    pub leads_in: Option<Term>,
    /// Whether a batch of the transaction may have written.
    pub may_have_written: bool,
    /// When its last batch ended.
    pub idle_since: Timestamp,
}

#[derive(Debug, Default)]
struct SessionEntry {
    in_flight: u32,
    ended: bool,
    pin: Option<Pin>,
}

/// The sessions at one home. A session has at most one transaction.
#[derive(Debug, Default)]
pub struct Sessions {
    entries: HashMap<SessionId, SessionEntry>,
}

impl Sessions {
    /// A request of `session` arrived. A request outside a transaction means that the session
    /// has none any more: a pin that is left is returned, to be rolled back.
    #[must_use]
    pub fn arrived(&mut self, session: &SessionId, transaction: Option<u64>) -> Option<Pin> {
        let entry = self.entries.entry(session.clone()).or_default();
        entry.in_flight += 1;
        match transaction {
            Some(_) => None,
            None => entry.pin.take(),
        }
    }

    /// Takes the connection of the session's transaction `number`.
    pub fn take_pin(&mut self, session: &SessionId, number: u64) -> Option<Pin> {
        let entry = self.entries.get_mut(session)?;
        let same = |pin: &Pin| pin.number.is_none_or(|pinned| pinned == number);
        let mut pin = entry.pin.take_if(|pin| same(pin))?;
        pin.number = Some(number);
        Some(pin)
    }

    /// Keeps a connection for the session's next batch. Given back, to be rolled back, when the
    /// session has ended or has opened a later transaction.
    pub fn keep_pin(&mut self, session: &SessionId, pin: Pin) -> Result<(), Box<Pin>> {
        let Some(entry) = self.entries.get_mut(session).filter(|entry| !entry.ended) else {
            return Err(Box::new(pin));
        };
        let has_later = |held: &Pin| held.opened_by > pin.opened_by;
        if entry.pin.as_ref().is_some_and(has_later) {
            return Err(Box::new(pin));
        }
        entry.pin = Some(pin);
        Ok(())
    }

    /// Takes the pin that the request of `arrival` left: nobody knows of its transaction.
    #[must_use]
    pub fn disown(&mut self, session: &SessionId, arrival: Arrival) -> Option<Pin> {
        let entry = self.entries.get_mut(session)?;
        let pin = entry.pin.take_if(|pin| pin.last_used_by == arrival);
        if entry.in_flight == 0 && entry.pin.is_none() {
            self.entries.remove(session);
        }
        pin
    }

    /// A request of `session` is over.
    pub fn finished(&mut self, session: &SessionId) {
        let Some(entry) = self.entries.get_mut(session) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if entry.in_flight == 0 && entry.pin.is_none() {
            self.entries.remove(session);
        }
    }

    /// The session is over; its pin is returned, to be rolled back.
    #[must_use]
    pub fn end(&mut self, session: &SessionId) -> Option<Pin> {
        let entry = self.entries.get_mut(session)?;
        entry.ended = true;
        let pin = entry.pin.take();
        if entry.in_flight == 0 {
            self.entries.remove(session);
        }
        pin
    }

    /// Takes the pins that have been idle for `limit` or longer, to be rolled back.
    #[must_use]
    pub fn expire(&mut self, now: Timestamp, limit: Duration) -> Vec<Pin> {
        let expired = |pin: &mut Pin| now.saturating_since(pin.idle_since) >= limit;
        let pins = self
            .entries
            .values_mut()
            .filter_map(|entry| entry.pin.take_if(expired))
            .collect();
        self.entries
            .retain(|_, entry| entry.in_flight > 0 || entry.pin.is_some());
        pins
    }

    /// Number of pinned connections that are idle.
    pub fn pins(&self) -> usize {
        let entries = self.entries.values();
        entries.filter(|entry| entry.pin.is_some()).count()
    }
}
