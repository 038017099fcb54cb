//! A node before a group of three databases, and drivers connected to it.

use std::time::Duration;

use dyketally::policy::PolicySet;
use dyketally::template::resolve;
use dyketally_lab::database::{DatabaseSettings, RunningDatabase, start_group_of_three};
use dyketally_proxy::node::Node;
use dyketally_proxy::settings::{Flags, read, read_documents};
use tokio_postgres::{Client, Config, NoTls};

const SETTINGS: &str = r#"
[node]
name = "node-1"
region = "north"
zone = "a"

[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
membership = "127.0.0.1:0"
admin = "127.0.0.1:0"
"#;

const TENANTS: &str = r#"
[[templates]]
name = "items"
weight = 1
databases = "${databases}"

[templates.parameters.databases]
type = "databases"

[[templates.statements]]
match = { prefix = "SELECT" }
access = "read"
deadline = "5s"

[[templates.statements]]
match = { prefix = "INSERT" }
access = "write"
deadline = "5s"

[[templates.statements]]
match = { prefix = "UPDATE" }
access = "write"
deadline = "5s"

[[tenants]]
name = "trial"
template = "items"

[tenants.parameters]
databases = { main = "store" }
"#;

/// A node before a group.
pub struct System {
    _databases: Vec<RunningDatabase>,
    pub node: Node,
}

impl System {
    /// Starts a group that has elected a primary, and a node.
    pub async fn start() -> Self {
        let template = DatabaseSettings {
            connect_cost_ms: 0,
            ..DatabaseSettings::named("template")
        };
        let databases = start_group_of_three("store", &template)
            .await
            .expect("group");
        wait_for_primary(&databases).await;
        let settings = read("test settings", SETTINGS, &Flags::default()).expect("settings");
        let node = Node::start_with(settings, policies(&databases))
            .await
            .expect("node");
        Self {
            _databases: databases,
            node,
        }
    }

    /// A driver that is connected to the node.
    pub async fn client(&self) -> Client {
        self.connect(&mut self.config()).await
    }

    /// How to connect to the node.
    pub fn config(&self) -> Config {
        let mut config = Config::new();
        config
            .host("127.0.0.1")
            .port(self.node.addresses().callers.port())
            .user("trial")
            .dbname("main");
        config
    }

    /// Connects as `config` says.
    pub async fn connect(&self, config: &mut Config) -> Client {
        let (client, connection) = config.connect(NoTls).await.expect("connection");
        tokio::spawn(connection);
        client
    }
}

fn policies(databases: &[RunningDatabase]) -> PolicySet {
    let mut text = String::from("[[groups]]\nname = \"store\"\n");
    for database in databases {
        text.push_str(&format!(
            "[[groups.members]]\nname = \"{}\"\naddress = \"{}\"\nregion = \"north\"\nzone = \"a\"\nconnection_limit = 20\nslots = 5\n",
            database.settings.name,
            database.address(),
        ));
    }
    text.push_str(TENANTS);
    let documents = read_documents("test configuration", &text).expect("documents");
    resolve(&documents).expect("policies")
}

async fn wait_for_primary(databases: &[RunningDatabase]) {
    loop {
        for database in databases {
            let state = database.control().state().await.expect("state");
            if state.role == "primary" {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
