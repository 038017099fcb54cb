//! Statements on the ledger of recorded requests.
//!
//! A recorded batch runs in a transaction that also inserts the request's key, with the reply as
//! the value. Whether the batch took effect can then be found out at any later primary: inserting
//! the key once more either fails, and the ledger holds the reply, or bars the batch for good.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rand::Rng;

/// Longest reply that is recorded, in bytes.
pub const LONGEST_RECORDED_REPLY: usize = 64 * 1024;

/// The value of a key that was inserted to bar its batch. Not a value that a reply is encoded to.
const BARRED: &str = "-";

/// Key of one recorded request; random, so that no other request of any node has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKey(u128);

impl RequestKey {
    /// A new key.
    pub fn random(random: &mut impl Rng) -> Self {
        Self(random.random())
    }
}

/// What the ledger holds for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEntry {
    /// The batch was committed with this reply.
    Reply(Vec<u8>),
    /// The batch was not committed and never will be.
    Barred,
    /// The key is there without a reply: the batch has ended its transaction itself, so that it
    /// can't be told how much of it was run.
    WithoutReply,
}

/// The statements on the ledger for one request.
#[derive(Clone, Debug)]
pub struct Ledger<'a> {
    table: &'a str,
    key: RequestKey,
}

impl<'a> Ledger<'a> {
    /// Statements on `table` for the request `key`.
    pub fn new(table: &'a str, key: RequestKey) -> Self {
        Self { table, key }
    }

    /// Inserts the key, in the transaction of the batch.
    pub fn insert(&self) -> String {
        self.insert_value("")
    }

    /// Records the reply, in the transaction of the batch.
    pub fn record(&self, reply: &[u8]) -> String {
        let (table, key) = (self.table, self.key.0);
        let value = STANDARD_NO_PAD.encode(reply);
        format!("UPDATE {table} SET value = '{value}' WHERE key = '{key:032x}'")
    }

    /// Bars the batch; fails if it was committed.
    pub fn bar(&self) -> String {
        self.insert_value(BARRED)
    }

    /// Reads the entry.
    pub fn select(&self) -> String {
        let (table, key) = (self.table, self.key.0);
        format!("SELECT value FROM {table} WHERE key = '{key:032x}'")
    }

    fn insert_value(&self, value: &str) -> String {
        let (table, key) = (self.table, self.key.0);
        format!("INSERT INTO {table} (key, value) VALUES ('{key:032x}', '{value}')")
    }
}

impl LedgerEntry {
    /// Reads the value of a key.
    pub fn of(value: &str) -> Self {
        if value == BARRED {
            return Self::Barred;
        }
        match STANDARD_NO_PAD.decode(value) {
            Ok(reply) if !reply.is_empty() => Self::Reply(reply),
            _ => Self::WithoutReply,
        }
    }
}
