//! The implementations that the contract is run against.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dyketally_lab::platform::{
    ControlClient, MachineListFaults, PlatformSettings, RunningPlatform, start,
};
use dyketally_proxy::stores::key_value::{
    Condition, Key, KeyRange, Operation, PutRequest, RangeReply, RangeRequest, StoreRevision,
    TransactionReply, TransactionRequest,
};
use dyketally_proxy::stores::machine_list::Machines;
use dyketally_proxy::stores::memory::{FaultPlan, MemoryMachineList, MemoryStore};
use dyketally_proxy::stores::{
    EtcdGateway, EtcdSettings, HttpMachineList, KeyValueStore, MachineList, StoreError,
};

/// Time after which a hanging request is given up over HTTP.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Clone, Copy, Debug)]
pub enum Implementation {
    Memory,
    Http,
}

/// A store and a machine list with the means to inject faults.
pub enum Backend {
    Memory {
        store: MemoryStore,
        machines: MemoryMachineList,
    },
    Http {
        store: Arc<EtcdGateway>,
        machines: HttpMachineList,
        control: ControlClient,
        platform: RunningPlatform,
    },
}

impl Backend {
    pub async fn start(implementation: Implementation) -> Self {
        Self::start_with(implementation, Machines::default()).await
    }

    pub async fn start_with(implementation: Implementation, machines: Machines) -> Self {
        match implementation {
            Implementation::Memory => Backend::Memory {
                store: MemoryStore::default(),
                machines: MemoryMachineList::new(machines),
            },
            Implementation::Http => Self::start_http(machines).await,
        }
    }

    async fn start_http(machines: Machines) -> Self {
        let settings = PlatformSettings {
            machines,
            ..PlatformSettings::default()
        };
        let platform = start(settings).await.expect("free ports");
        let addresses = platform.addresses();
        let etcd = EtcdSettings {
            request_timeout: REQUEST_TIMEOUT,
            ..EtcdSettings::new(addresses.gateway_url())
        };
        Backend::Http {
            store: Arc::new(EtcdGateway::new(etcd).expect("an HTTP client")),
            machines: HttpMachineList::new(addresses.machines_url(), REQUEST_TIMEOUT)
                .expect("an HTTP client"),
            control: ControlClient::new(addresses.control_url()).expect("an HTTP client"),
            platform,
        }
    }

    pub fn store(&self) -> Arc<dyn KeyValueStore> {
        match self {
            Backend::Memory { store, .. } => Arc::new(store.clone()),
            Backend::Http { store, .. } => store.clone(),
        }
    }

    pub fn machines(&self) -> &dyn MachineList {
        match self {
            Backend::Memory { machines, .. } => machines,
            Backend::Http { machines, .. } => machines,
        }
    }

    /// The store without the faults, to look at what really took effect.
    pub fn truth(&self) -> &MemoryStore {
        match self {
            Backend::Memory { store, .. } => store,
            Backend::Http { platform, .. } => platform.store(),
        }
    }

    /// The value of `key` as it really is.
    pub fn true_value(&self, key: &str) -> Option<Bytes> {
        let reply = self.truth().read(&RangeRequest::all(KeyRange::key(key)));
        let reply = reply.result.expect("a range at the newest revision");
        reply.entries.into_iter().next().map(|entry| entry.value)
    }

    pub async fn set_faults(&self, faults: FaultPlan) {
        match self {
            Backend::Memory { store, .. } => store.set_faults(faults),
            Backend::Http { control, .. } => {
                control
                    .set_faults(&faults)
                    .await
                    .expect("the control address");
                assert_eq!(control.faults().await.expect("the control address"), faults);
            }
        }
    }

    pub async fn lapse_leases(&self) {
        match self {
            Backend::Memory { store, .. } => store.lapse_leases(),
            Backend::Http { control, .. } => {
                control.lapse_leases().await.expect("the control address");
            }
        }
    }

    pub async fn compact(&self, revision: StoreRevision) {
        match self {
            Backend::Memory { store, .. } => store.compact(revision),
            Backend::Http { control, .. } => {
                control
                    .compact(revision)
                    .await
                    .expect("the control address");
                let status = control.status().await.expect("the control address");
                assert_eq!(status.compacted, revision.0);
            }
        }
    }

    pub async fn set_machines(&self, list: Machines) {
        match self {
            Backend::Memory { machines, .. } => machines.set_machines(list),
            Backend::Http { control, .. } => {
                control
                    .set_machines(&list)
                    .await
                    .expect("the control address");
            }
        }
    }

    pub async fn set_machine_list_faults(&self, faults: MachineListFaults) {
        match self {
            Backend::Memory { machines, .. } => {
                machines.set_lag(Duration::from_millis(faults.lag_milliseconds));
                machines.set_available(!faults.unavailable);
            }
            Backend::Http { control, .. } => {
                let set = control.set_machine_list_faults(faults).await;
                set.expect("the control address");
            }
        }
    }
}

pub fn put(key: &str, value: &str) -> PutRequest {
    PutRequest {
        key: key.into(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        lease: None,
    }
}

/// Sets `key` to `value` if it holds `expected`, else reads it.
pub fn compare_and_swap(key: &str, expected: Option<&str>, value: &str) -> TransactionRequest {
    let condition = match expected {
        None => Condition::Absent { key: key.into() },
        Some(expected) => Condition::Holds {
            key: key.into(),
            value: Bytes::copy_from_slice(expected.as_bytes()),
        },
    };
    TransactionRequest {
        conditions: vec![condition],
        then: vec![Operation::Put(put(key, value))],
        otherwise: vec![Operation::Range(RangeRequest::all(KeyRange::key(key)))],
    }
}

pub async fn read(store: &dyn KeyValueStore, range: KeyRange) -> Result<RangeReply, StoreError> {
    store.range(RangeRequest::all(range)).await
}

pub async fn swap(
    store: &dyn KeyValueStore,
    key: &str,
    expected: Option<&str>,
    value: &str,
) -> Result<TransactionReply, StoreError> {
    store.transact(compare_and_swap(key, expected, value)).await
}

/// Keys and values of a reply as text.
pub fn texts(reply: &RangeReply) -> Vec<(String, String)> {
    let text = |bytes: &Bytes| String::from_utf8(bytes.to_vec()).expect("text");
    let entries = reply.entries.iter();
    entries
        .map(|entry| (text(key_bytes(&entry.key)), text(&entry.value)))
        .collect()
}

fn key_bytes(key: &Key) -> &Bytes {
    key.as_bytes()
}
