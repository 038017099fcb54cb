//! The tenants of one revision of the configuration, found by key or by name.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use super::{ApiKey, Tenant};
use crate::identifiers::TenantName;

/// Length of the secret for keyed digests, in bytes.
const SECRET_LENGTH: usize = 32;

/// A key's digest. Digests are keyed with a random secret of the directory, so that neither the time of
/// a lookup nor a dump of the digests reveals anything about keys.
type Digest = [u8; blake3::OUT_LEN];

/// A tenant with its keys, as the configuration lists it.
#[derive(Clone, Debug)]
pub struct TenantPolicy {
    /// The tenant.
    pub tenant: Tenant,
    /// The tenant's keys; empty if all were removed.
    pub keys: Vec<ApiKey>,
}

/// A fault in a list of tenants.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TenantError {
    /// Two tenants have the same name.
    #[error("tenant {0} is listed twice; give each tenant a name of its own")]
    ListedTwice(TenantName),
    /// Two tenants have the same key.
    #[error("tenants {0} and {1} share a key; give each tenant keys of its own")]
    SharedKey(TenantName, TenantName),
    /// A tenant has an empty key.
    #[error("tenant {0} has an empty key; remove it")]
    EmptyKey(TenantName),
}

/// Tenants by their keys and by their names.
#[derive(Clone)]
pub struct TenantDirectory {
    secret: [u8; SECRET_LENGTH],
    by_key: HashMap<Digest, Arc<Tenant>>,
    by_name: BTreeMap<TenantName, Arc<Tenant>>,
}

impl TenantDirectory {
    /// The directory of `tenants`.
    ///
    /// # Errors
    /// When two tenants have the same name or the same key, or a key is empty.
    pub fn new(tenants: Vec<TenantPolicy>) -> Result<Self, TenantError> {
        let mut directory = Self {
            secret: rand::random(),
            by_key: HashMap::new(),
            by_name: BTreeMap::new(),
        };
        for TenantPolicy { tenant, keys } in tenants {
            directory.add(Arc::new(tenant), &keys)?;
        }
        Ok(directory)
    }

    fn add(&mut self, tenant: Arc<Tenant>, keys: &[ApiKey]) -> Result<(), TenantError> {
        let name = tenant.name.clone();
        if self.by_name.insert(name.clone(), tenant.clone()).is_some() {
            return Err(TenantError::ListedTwice(name));
        }
        for key in keys {
            if key.bytes().is_empty() {
                return Err(TenantError::EmptyKey(name));
            }
            let former = self.by_key.insert(self.digest(key), tenant.clone());
            if let Some(former) = former.filter(|former| former.name != name) {
                return Err(TenantError::SharedKey(former.name.clone(), name));
            }
        }
        Ok(())
    }

    /// The tenant that `key` belongs to.
    pub fn holder(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.by_key.get(&self.digest(key))
    }

    /// The tenant called `name`.
    pub fn tenant(&self, name: &TenantName) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, in the order of their names.
    pub fn tenants(&self) -> impl Iterator<Item = &Tenant> {
        self.by_name.values().map(|tenant| &**tenant)
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// True when there are no tenants.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    fn digest(&self, key: &ApiKey) -> Digest {
        *blake3::keyed_hash(&self.secret, key.bytes()).as_bytes()
    }
}

impl fmt::Debug for TenantDirectory {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut list = f.debug_list();
        list.entries(self.by_name.values()).finish()
    }
}
