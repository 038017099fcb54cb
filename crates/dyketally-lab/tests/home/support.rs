//! A group of three stand-in databases with a home for each, and requests to them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::{Buf, Bytes};
use dyketally::identifiers::{
    DatabaseName, GroupName, Locality, NodeName, RequestId, SessionId, TenantName,
};
use dyketally::policy::{
    Access, Confirmation, DatabasePolicy, GroupPolicy, PolicySet, Repeat, TenantPolicy, Urgency,
};
use dyketally_lab::database::{
    DatabaseSettings, DatabaseState, RunningDatabase, start_group_of_three,
};
use dyketally_protocol::{
    Completion, ExecuteRequest, Freshness, StatementBatch, Step, TransactionStatus,
};
use dyketally_proxy::home::{AddressRoutes, Home, HomeHandle, HomeOptions};
use dyketally_proxy::reply::{HomeRequest, ReplyReceiver, reply_channel};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::stderr_log::print_log;

/// Far beyond what any step takes; only a step that never comes runs into it.
pub const LONG: Duration = Duration::from_secs(30);
const POLL_PAUSE: Duration = Duration::from_millis(5);
const STATUS_STATEMENT: &str = "SELECT role, term, log_term, log_offset FROM dyketally_status";

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(0);

/// Waits until `probe` yields a value.
pub async fn eventually<T, F: Future<Output = Option<T>>>(what: &str, probe: impl Fn() -> F) -> T {
    let polling = async {
        loop {
            if let Some(value) = probe().await {
                return value;
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    };
    let reached = tokio::time::timeout(LONG, polling).await;
    reached.unwrap_or_else(|_| panic!("{what} did not come about"))
}

/// What a fixture is started with.
#[derive(Clone, Debug)]
pub struct Setup {
    pub database: DatabaseSettings,
    pub queue_limit: u32,
    pub options: HomeOptions,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            database: DatabaseSettings {
                connect_cost_ms: 0,
                ..DatabaseSettings::default()
            },
            queue_limit: 100,
            options: HomeOptions::default(),
        }
    }
}

/// A group, its homes, and which of its databases led at the start.
pub struct Fixture {
    names: Vec<DatabaseName>,
    pub databases: Vec<RunningDatabase>,
    pub homes: Vec<HomeHandle>,
    pub primary: usize,
    pub policies: watch::Sender<Arc<PolicySet>>,
}

impl Fixture {
    pub async fn start() -> Self {
        Self::start_with(Setup::default()).await
    }

    pub async fn start_with(setup: Setup) -> Self {
        print_log();
        let databases = start_group_of_three("stock", &setup.database);
        let databases = databases.await.expect("free ports");
        let policies = policies(&databases, &setup);
        let (policies, receiver) = watch::channel(Arc::new(policies));
        let homes = databases.iter().map(|database| {
            Home::start(
                database.settings.name.clone(),
                receiver.clone(),
                AddressRoutes::default(),
                setup.options.clone(),
            )
        });
        let homes: Vec<_> = homes.collect();
        let primary = wait_for_primary(&databases).await;
        let names = databases
            .iter()
            .map(|database| database.settings.name.clone());
        Self {
            names: names.collect(),
            databases,
            homes,
            primary,
            policies,
        }
    }

    pub fn name(&self, member: usize) -> DatabaseName {
        self.names[member].clone()
    }

    /// The members that did not lead at the start.
    pub fn replicas(&self) -> Vec<usize> {
        (0..3).filter(|member| *member != self.primary).collect()
    }

    pub async fn state(&self, member: usize) -> DatabaseState {
        let state = self.databases[member].control().state().await;
        state.expect("control address")
    }

    /// Waits until the primary of the start runs a statement.
    pub async fn wait_until_busy(&self) {
        eventually("the statement runs", || async {
            let state = self.databases[self.primary].control().state().await.ok()?;
            (state.busy_slots > 0).then_some(())
        })
        .await;
    }

    /// Cuts the primary of the start off from the others, while it goes on believing that it leads.
    pub async fn cut_off_primary(&self) {
        let control = self.databases[self.primary].control();
        control.set_stay_leading(true).await.unwrap();
        let others = self.replicas().into_iter().map(|other| self.name(other));
        control.cut(others.collect()).await.unwrap();
    }

    /// Waits until one of those that followed at the start leads; others may be gone.
    pub async fn another_primary(&self) -> usize {
        eventually("another primary", || async {
            for member in self.replicas() {
                let mut databases = self.databases.iter();
                let database = databases.find(|held| held.settings.name == self.name(member))?;
                if database.control().state().await.ok()?.is_primary() {
                    return Some(member);
                }
            }
            None
        })
        .await
    }

    /// A statement outside of a transaction, in a session of its own.
    pub fn request(&self, member: usize, access: Access, text: &str) -> ExecuteRequest {
        let number = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
        ExecuteRequest {
            request: RequestId(number),
            database: self.name(member),
            tenant: TenantName::new("shop"),
            session: SessionId {
                edge: NodeName::new("edge"),
                incarnation: 1,
                number,
            },
            transaction: None,
            access,
            urgency: Urgency::Normal,
            repeat: Repeat::Never,
            freshness: Freshness::Current,
            time_left: LONG,
            batch: StatementBatch {
                prepared: vec![],
                steps: vec![Step::Query(text.to_owned())],
            },
        }
    }

    pub fn write(&self, member: usize, text: &str) -> ExecuteRequest {
        self.request(member, Access::Write, text)
    }

    pub fn read(&self, member: usize, freshness: Freshness, text: &str) -> ExecuteRequest {
        ExecuteRequest {
            freshness,
            ..self.request(member, Access::Read, text)
        }
    }

    /// Another home of a database, as on a node with another view of the placement.
    pub fn second_home(&self, member: usize) -> HomeHandle {
        Home::start(
            self.name(member),
            self.policies.subscribe(),
            AddressRoutes::default(),
            HomeOptions::default(),
        )
    }

    /// Hands a request to the home of its database.
    pub fn submit(&self, execute: ExecuteRequest) -> Pending {
        let member = (0..3).find(|member| self.name(*member) == execute.database);
        self.submit_to(member.expect("a member"), execute)
    }

    /// Hands a request to the home of the member that had this number at the start.
    pub fn submit_to(&self, member: usize, execute: ExecuteRequest) -> Pending {
        Self::submit_at(&self.homes[member], execute)
    }

    pub fn submit_at(home: &HomeHandle, execute: ExecuteRequest) -> Pending {
        let (sender, receiver) = reply_channel();
        let cancelled = CancellationToken::new();
        home.submit(HomeRequest {
            execute,
            cancelled: cancelled.clone(),
            reply: sender,
        });
        Pending {
            receiver,
            cancelled,
        }
    }

    /// Runs a request to its end.
    pub async fn run(&self, execute: ExecuteRequest) -> Answer {
        self.submit(execute).answer().await
    }

    /// Runs the next batch of the session of `before`, in its transaction `number`.
    pub async fn run_next(&self, before: &ExecuteRequest, number: u64, text: &str) -> Answer {
        let next = ExecuteRequest {
            transaction: Some(number),
            batch: StatementBatch {
                prepared: vec![],
                steps: vec![Step::Query(text.to_owned())],
            },
            ..before.clone()
        };
        self.run(next).await
    }
}

async fn wait_for_primary(databases: &[RunningDatabase]) -> usize {
    eventually("a primary that all follow", || async {
        let mut states = Vec::new();
        for database in databases {
            states.push(database.control().state().await.ok()?);
        }
        let leader = states.iter().position(DatabaseState::is_primary)?;
        let term = states[leader].term;
        let follow = |state: &DatabaseState| state.term == term && state.log_term == term;
        states.iter().all(follow).then_some(leader)
    })
    .await
}

fn policies(databases: &[RunningDatabase], setup: &Setup) -> PolicySet {
    let locality = Locality {
        region: "region".into(),
        zone: "zone".into(),
    };
    let members = databases.iter().map(|database| DatabasePolicy {
        name: database.settings.name.clone(),
        address: database.address(),
        locality: locality.clone(),
        connection_limit: database.settings.connection_limit,
        slots: database.settings.slots,
    });
    let group = GroupPolicy {
        name: GroupName::new("stock"),
        members: members.collect(),
        status_statement: STATUS_STATEMENT.to_owned(),
        ledger_table: "ledger".to_owned(),
    };
    let tenant = TenantPolicy {
        name: TenantName::new("shop"),
        databases: BTreeMap::from([("stock".to_owned(), group.name.clone())]),
        weight: 1,
        queue_limit: setup.queue_limit,
        rules: vec![],
        confirmation: Confirmation::MajorityPosition,
    };
    PolicySet {
        groups: BTreeMap::from([(group.name.clone(), group)]),
        tenants: BTreeMap::from([(tenant.name.clone(), tenant)]),
        ..PolicySet::default()
    }
}

/// A request on its way.
pub struct Pending {
    receiver: ReplyReceiver,
    pub cancelled: CancellationToken,
}

impl Pending {
    pub async fn answer(mut self) -> Answer {
        let collected = async {
            let mut data = Vec::new();
            while let Some(chunk) = self.receiver.next().await {
                data.extend_from_slice(&chunk);
            }
            let completion = self.receiver.completion.await.expect("a completion");
            Answer {
                data: data.into(),
                completion,
            }
        };
        let answer = tokio::time::timeout(LONG + LONG, collected).await;
        answer.expect("each request ends")
    }
}

/// How a request ended, and the data of its reply.
#[derive(Debug)]
pub struct Answer {
    data: Bytes,
    pub completion: Completion,
}

impl Answer {
    pub fn is_done(&self) -> bool {
        matches!(self.completion, Completion::Done { .. })
    }

    /// The position that a reply from the primary tells.
    pub fn seen(&self) -> dyketally::group::LogPosition {
        match self.completion {
            Completion::Done {
                seen: Some(seen), ..
            } => seen,
            ref other => panic!("no position: {other:?}"),
        }
    }

    pub fn transaction(&self) -> TransactionStatus {
        match self.completion {
            Completion::Done { transaction, .. } => transaction,
            ref other => panic!("not done: {other:?}"),
        }
    }

    /// Tags of the messages, in order.
    pub fn tags(&self) -> String {
        self.messages().iter().map(|(tag, _)| *tag).collect()
    }

    /// The first column of each row.
    pub fn values(&self) -> Vec<String> {
        let rows = self.messages().into_iter().filter(|(tag, _)| *tag == 'D');
        let first = rows.map(|(_, mut body)| {
            body.advance(size_of::<u16>());
            let length = body.get_i32() as usize;
            String::from_utf8(body[..length].to_vec()).expect("text")
        });
        first.collect()
    }

    /// The SQLSTATE of the error in the reply.
    pub fn sqlstate(&self) -> Option<String> {
        let messages = self.messages();
        let (_, body) = messages.into_iter().find(|(tag, _)| *tag == 'E')?;
        let mut fields = body.split(|byte| *byte == 0);
        let code = fields.find(|field| field.first() == Some(&b'C'))?;
        Some(String::from_utf8(code[1..].to_vec()).expect("text"))
    }

    fn messages(&self) -> Vec<(char, Bytes)> {
        let mut data = self.data.clone();
        let mut messages = Vec::new();
        while data.has_remaining() {
            let tag = char::from(data.get_u8());
            let length = data.get_u32() as usize - size_of::<u32>();
            messages.push((tag, data.split_to(length)));
        }
        messages
    }
}

pub fn insert(key: &str) -> String {
    format!("INSERT INTO orders (key, value) VALUES ('{key}', '1')")
}

pub fn select(key: &str) -> String {
    format!("SELECT value FROM orders WHERE key = '{key}'")
}
