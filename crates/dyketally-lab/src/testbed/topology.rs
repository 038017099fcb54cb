//! A running site: all its processes, started in order and ended together.

use std::fs;
use std::path::Path;
use std::time::Duration;

use eyre::WrapErr;

use crate::{network, platform};

use super::admin::AdminClient;
use super::caller::CallerSettings;
use super::client::SessionClient;
use super::database::start_database;
use super::group::Group;
use super::plan::{CALLERS, DatabasePlan, Plan, ProxyPlan, Routes};
use super::process::{ChildProcess, Launcher, Program};
use super::proxy::{start_proxy, write_configuration};
use super::readiness::{accepts_connections, poll_until};
use super::site::{DATABASE, Site};

/// Time that a process has to become ready.
pub const START_LIMIT: Duration = Duration::from_secs(15);

/// A row to insert.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row<'a> {
    /// Its key.
    pub key: &'a str,
    /// Its value.
    pub value: &'a str,
}

/// A running site.
#[derive(Debug)]
pub struct Topology {
    /// What was asked for.
    pub site: Site,
    /// Where everything runs.
    pub plan: Plan,
    /// How processes reach each other.
    pub routes: Routes,
    /// Starts further processes.
    pub launcher: Launcher,
    /// The databases, in the order of the plan.
    pub databases: Vec<ChildProcess>,
    /// The proxies, in the order of the plan.
    pub proxies: Vec<ChildProcess>,
    _platform: ChildProcess,
    network: Option<ChildProcess>,
}

impl Topology {
    /// Starts all processes of a site; settings and logs go to `directory`. The operators'
    /// documents are not published yet.
    ///
    /// # Errors
    /// When a process can't be started or does not become ready.
    pub async fn start(site: Site, directory: &Path) -> eyre::Result<Self> {
        let launcher = Launcher::new(directory)?;
        let plan = Plan::new(&site)?;
        let (network, routes) = if site.relays {
            let (process, routes) = start_network(&launcher, &plan, &site).await?;
            (Some(process), routes)
        } else {
            (None, Routes::default())
        };
        let platform = start_platform(&launcher, &plan).await?;
        let mut topology = Self {
            site,
            plan,
            routes,
            launcher,
            databases: Vec::new(),
            proxies: Vec::new(),
            _platform: platform,
            network,
        };
        topology.start_databases().await?;
        Ok(topology)
    }

    async fn start_databases(&mut self) -> eyre::Result<()> {
        for database in &self.plan.databases {
            let process = self.launch_database(database, false)?;
            self.databases.push(process);
        }
        for database in &self.plan.databases {
            accepts_connections(&database.name, database.listen, START_LIMIT).await?;
        }
        for group in &self.site.groups {
            self.group(group).primary().await?;
        }
        Ok(())
    }

    /// Starts all proxies and waits until they accept callers.
    ///
    /// # Errors
    /// When one can't be started or does not become ready.
    pub async fn start_proxies(&mut self) -> eyre::Result<()> {
        write_configuration(&self.launcher, &self.site, &self.plan)?;
        for proxy in &self.plan.proxies {
            let process = self.launch_proxy(proxy)?;
            self.proxies.push(process);
        }
        for proxy in &self.plan.proxies {
            accepts_connections(&proxy.name, proxy.listen, START_LIMIT).await?;
        }
        Ok(())
    }

    /// Starts the proxy with this number again, after it has ended.
    ///
    /// # Errors
    /// When it can't be started or does not become ready.
    pub async fn restart_proxy(&mut self, number: usize) -> eyre::Result<()> {
        let proxy = &self.plan.proxies[number];
        self.proxies[number] = self.launch_proxy(proxy)?;
        self.proxy_ready(number).await
    }

    /// Waits until the proxy with this number takes callers.
    ///
    /// # Errors
    /// When it does not in time.
    pub async fn proxy_ready(&self, number: usize) -> eyre::Result<()> {
        let proxy = &self.plan.proxies[number];
        accepts_connections(&proxy.name, proxy.listen, START_LIMIT).await?;
        let admin = AdminClient::new(&self.plan)?;
        let ready = || async { admin.is_ready(number).await.then_some(()) };
        poll_until(&proxy.name, START_LIMIT, ready).await?;
        Ok(())
    }

    /// Starts the database with this number again, after it has ended with its log lost.
    ///
    /// # Errors
    /// When it can't be started.
    pub async fn restart_database(&mut self, number: usize) -> eyre::Result<()> {
        let database = &self.plan.databases[number];
        self.databases[number] = self.launch_database(database, true)?;
        accepts_connections(&database.name, database.listen, START_LIMIT).await?;
        Ok(())
    }

    /// The number of the database `name`.
    ///
    /// # Errors
    /// When there is none.
    pub fn database_number(&self, name: &str) -> eyre::Result<usize> {
        let mut databases = self.plan.databases.iter();
        let number = databases.position(|database| database.name == name);
        number.ok_or_else(|| eyre::eyre!("{name} is not in the plan; name one of its databases"))
    }

    /// The members of a group, past the proxies.
    pub fn group(&self, name: &str) -> Group {
        Group::of_plan(&self.plan, name)
    }

    /// Injects faults into the platform.
    ///
    /// # Errors
    /// When the HTTP client can't be set up.
    pub fn platform_control(&self) -> eyre::Result<platform::ControlClient> {
        let url = format!("http://{}", self.plan.platform_control);
        Ok(platform::ControlClient::new(url)?)
    }

    /// Cuts and delays links.
    ///
    /// # Errors
    /// When the site has no relays.
    pub fn network_control(&self) -> eyre::Result<network::ControlClient> {
        if self.network.is_none() {
            eyre::bail!("the site has no relays; set `relays = true` in its settings");
        }
        Ok(network::ControlClient::new(self.plan.network_control))
    }

    /// Inserts rows straight into a group's primary.
    ///
    /// # Errors
    /// When there is no primary or it refuses a row.
    pub async fn insert(&self, group: &str, table: &str, rows: &[Row<'_>]) -> eyre::Result<()> {
        let primary = self.group(group).primary().await?;
        let number = self.database_number(&primary.name)?;
        let address = self.plan.databases[number].listen;
        let session = SessionClient::connect(address, "lab", DATABASE, None).await?;
        let statement = format!("INSERT INTO {table} (key, value) VALUES ($1, $2)");
        let statement = session.driver().prepare(&statement).await?;
        let client = session.driver();
        let inserts = rows.iter().map(|row| async {
            let Row { key, value } = row;
            client.execute(&statement, &[key, value]).await
        });
        futures::future::try_join_all(inserts).await?;
        Ok(())
    }

    /// How callers of a tenant reach the proxies.
    pub fn callers(&self, tenant: &str, patience: Duration) -> CallerSettings {
        let via = |proxy: &ProxyPlan| self.routes.via(CALLERS, proxy.listen);
        CallerSettings {
            proxies: self.plan.proxies.iter().map(via).collect(),
            tenant: tenant.to_owned(),
            database: DATABASE.to_owned(),
            patience,
        }
    }

    fn launch_database(
        &self,
        database: &DatabasePlan,
        joining: bool,
    ) -> eyre::Result<ChildProcess> {
        let Self { site, plan, .. } = self;
        start_database(&self.launcher, site, plan, &self.routes, database, joining)
    }

    fn launch_proxy(&self, proxy: &ProxyPlan) -> eyre::Result<ChildProcess> {
        let Self { site, plan, .. } = self;
        start_proxy(&self.launcher, site, plan, &self.routes, proxy)
    }
}

async fn start_network(
    launcher: &Launcher,
    plan: &Plan,
    site: &Site,
) -> eyre::Result<(ChildProcess, Routes)> {
    let settings = toml::to_string(&plan.network(site))?;
    let path = launcher.logs().join("network.toml");
    fs::write(&path, settings)?;
    let arguments = ["network", "--settings", &path.to_string_lossy()].map(str::to_owned);
    let process = launcher.start("network", Program::Lab, &arguments)?;
    let control = network::ControlClient::new(plan.network_control);
    let routes = poll_until("network", START_LIMIT, || async {
        control.routes().await.ok()
    });
    Ok((process, Routes(routes.await?)))
}

async fn start_platform(launcher: &Launcher, plan: &Plan) -> eyre::Result<ChildProcess> {
    let arguments = [
        "platform".to_owned(),
        format!("--gateway={}", plan.platform_gateway),
        format!("--control={}", plan.platform_control),
    ];
    let process = launcher.start("platform", Program::Lab, &arguments)?;
    accepts_connections("platform", plan.platform_gateway, START_LIMIT)
        .await
        .wrap_err("the platform's stand-in did not start")?;
    Ok(process)
}
