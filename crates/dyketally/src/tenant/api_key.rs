//! The secret key by which a caller authenticates as a tenant.

use std::fmt;

use secrecy::{ExposeSecret, SecretString};

/// A caller's key. It can't be printed or serialised, is compared in constant time, and its memory is
/// overwritten when it is dropped. A [`TenantDirectory`](super::TenantDirectory) finds the key's tenant.
#[derive(Clone)]
pub struct ApiKey(SecretString);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(key: impl Into<String>) -> Self {
        Self(SecretString::from(key.into()))
    }

    /// Length of the key in bytes.
    pub fn length(&self) -> usize {
        self.bytes().len()
    }

    /// The key's bytes, to be hashed.
    pub(super) fn bytes(&self) -> &[u8] {
        self.0.expose_secret().as_bytes()
    }
}

impl PartialEq for ApiKey {
    fn eq(&self, other: &Self) -> bool {
        // Digests are compared in constant time.
        blake3::hash(self.bytes()) == blake3::hash(other.bytes())
    }
}

impl Eq for ApiKey {}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(redacted)")
    }
}
