//! An operator, who drives the site with the `dyketally` command.

use std::path::PathBuf;
use std::process::{Output, Stdio};

use dyketally::policy::Revision;
use eyre::{WrapErr, ensure};
use serde::Deserialize;
use tokio::process::Command;

use super::documents::{TEMPLATE_NAME, group_document, template_document, tenant_document};
use super::process::Program;
use super::topology::Topology;

/// Exit code of the command when another change was published first.
pub const CONFLICT: i32 = 3;

/// Runs the operators' command against the site's platform.
#[derive(Clone, Debug)]
pub struct Operator {
    binary: PathBuf,
    key_value: String,
    documents: PathBuf,
    author: String,
}

/// What the command printed, and how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandResult {
    /// Its exit code; none when a signal ended it.
    pub code: Option<i32>,
    /// Its standard output.
    pub output: String,
    /// Its standard error.
    pub errors: String,
}

impl CommandResult {
    /// The output of a command that succeeded.
    ///
    /// # Errors
    /// When it failed, with what it printed.
    pub fn succeeded(self) -> eyre::Result<String> {
        ensure!(
            self.code == Some(0),
            "the command ended with {:?}: {}{}",
            self.code,
            self.output,
            self.errors
        );
        Ok(self.output)
    }

    /// The revision that a publication made.
    ///
    /// # Errors
    /// When the command failed or told no revision.
    pub fn revision(self) -> eyre::Result<Revision> {
        let output = self.succeeded()?;
        let published: Published = serde_json::from_str(&output)?;
        Ok(published.revision)
    }
}

#[derive(Deserialize)]
struct Published {
    revision: Revision,
}

impl Operator {
    /// An operator with this name.
    ///
    /// # Errors
    /// When the command was not built.
    pub fn new(topology: &Topology, author: &str) -> eyre::Result<Self> {
        Ok(Self {
            binary: topology.launcher.binary(Program::Command)?,
            key_value: format!("http://{}", topology.plan.platform_gateway),
            documents: topology.launcher.logs().to_owned(),
            author: author.to_owned(),
        })
    }

    /// Runs the command with these arguments.
    ///
    /// # Errors
    /// When it can't be started.
    pub async fn run(&self, arguments: &[&str]) -> eyre::Result<CommandResult> {
        let Output {
            status,
            stdout,
            stderr,
        } = Command::new(&self.binary)
            .args(["--output", "json", "--key-value"])
            .arg(&self.key_value)
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .await
            .wrap_err("the operators' command can't be started")?;
        Ok(CommandResult {
            code: status.code(),
            output: String::from_utf8_lossy(&stdout).into_owned(),
            errors: String::from_utf8_lossy(&stderr).into_owned(),
        })
    }

    /// Publishes a document with a command such as `template publish`.
    ///
    /// # Errors
    /// When the document can't be written or the command can't be started.
    pub async fn publish(
        &self,
        command: [&str; 2],
        name: &str,
        document: &str,
        expected_revision: Option<u64>,
    ) -> eyre::Result<CommandResult> {
        let path = self.documents.join(format!("{}-{name}.toml", command[0]));
        std::fs::write(&path, document)?;
        let path = path.to_string_lossy();
        let [subject, verb] = command;
        let revision = expected_revision.map(|revision| revision.to_string());
        let mut arguments = vec![subject, verb, &path, "--author", &self.author];
        if let Some(revision) = &revision {
            arguments.extend(["--expect-revision", revision]);
        }
        self.run(&arguments).await
    }

    /// Publishes all documents of a site; gives the revision that holds them all.
    ///
    /// # Errors
    /// When one is refused.
    pub async fn publish_site(&self, topology: &Topology) -> eyre::Result<Revision> {
        let Topology { site, plan, .. } = topology;
        for group in &site.groups {
            let document = group_document(site, plan, group);
            let published = self.publish(["group", "set"], group, &document, None);
            published.await?.succeeded()?;
        }
        let template = template_document();
        let published = self.publish(["template", "publish"], TEMPLATE_NAME, &template, None);
        published.await?.succeeded()?;
        let mut revision = Revision::default();
        for tenant in &site.tenants {
            let document = tenant_document(tenant);
            let published = self.publish(["tenant", "set"], &tenant.name, &document, None);
            revision = published.await?.revision()?;
        }
        Ok(revision)
    }
}
