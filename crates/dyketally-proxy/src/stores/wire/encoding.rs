//! How the gateway writes integers and bytes.

use std::fmt;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// A 64 bit integer: written as a string, read from a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Int64(pub i64);

impl Int64 {
    /// From an unsigned number, which the service's numbers never exceed.
    pub fn from_unsigned(number: u64) -> Self {
        Int64(i64::try_from(number).unwrap_or(i64::MAX))
    }

    /// As an unsigned number; zero when negative.
    pub fn unsigned(self) -> u64 {
        u64::try_from(self.0).unwrap_or(0)
    }

    /// True for the value that the gateway leaves out.
    pub fn is_zero(&self) -> bool {
        self.0 == 0
    }
}

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Int64Visitor)
    }
}

struct Int64Visitor;

impl Visitor<'_> for Int64Visitor {
    type Value = Int64;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a 64 bit integer as a string or a number")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Int64, E> {
        text.parse().map(Int64).map_err(E::custom)
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Int64, E> {
        Ok(Int64(number))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Int64, E> {
        i64::try_from(number).map(Int64).map_err(E::custom)
    }
}

/// Bytes, written in base64.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Base64(pub Bytes);

impl Base64 {
    /// True for the value that the gateway leaves out.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Base64(Bytes::from(bytes)))
    }
}
