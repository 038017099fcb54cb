//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  a check failed, or what was asked for doesn't exist; nothing was changed
  2  the command line is wrong; nothing was changed
  3  conflict: another change was published first; nothing was changed
  4  a service or node did not answer; nothing was changed
  5  unknown: the change may or may not be in force";

const DEFAULT_NODE: &str = "127.0.0.1:7480";

/// Publishes templates, tenants and groups of dyketally, and shows the state of its nodes.
#[derive(Clone, Debug, Parser)]
#[command(name = "dyketally", version, after_help = EXIT_CODES)]
pub struct CommandLine {
    /// Options of all commands.
    #[command(flatten)]
    pub options: Options,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Options of all commands.
#[derive(Clone, Debug, Args)]
pub struct Options {
    /// Base URL of the key-value service that holds the configuration
    #[arg(long, global = true, value_name = "URL", env = "DYKETALLY_KEY_VALUE")]
    pub key_value: Option<String>,
    /// Form of the output
    #[arg(long, global = true, value_enum, default_value_t)]
    pub output: OutputForm,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum OutputForm {
    /// Tables and text for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Templates: what tenants of one kind have in common
    #[command(subcommand)]
    Template(TemplateCommand),
    /// Tenants: a template's name and values for its parameters
    #[command(subcommand)]
    Tenant(TenantCommand),
    /// Database groups
    #[command(subcommand)]
    Group(GroupCommand),
    /// Shows the state of nodes
    Status(StatusArguments),
    /// Shows from logs of gateways what settled a request
    Explain {
        /// The request's id, as the caller sent it
        id: String,
        /// Logs to search; a log of several processes has each one's name before the object
        #[arg(long = "log", required = true, num_args = 1..)]
        logs: Vec<PathBuf>,
    },
    /// Prints a completion script for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// What to do with templates.
#[derive(Clone, Debug, Subcommand)]
pub enum TemplateCommand {
    /// Checks template files, without any service
    Check {
        /// Template files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Publishes a template
    Publish(PublishArguments),
    /// Prints a published template
    Show {
        /// The template's name
        name: String,
    },
    /// Lists the newest changes, newest first
    History(HistoryArguments),
    /// Compares a file with the published template of the same name
    Diff {
        /// Template file
        file: PathBuf,
    },
}

/// What to do with tenants.
#[derive(Clone, Debug, Subcommand)]
pub enum TenantCommand {
    /// Publishes a tenant
    Set(PublishArguments),
    /// Removes a tenant
    Remove(RemoveArguments),
    /// Lists the tenants
    List,
}

/// What to do with groups.
#[derive(Clone, Debug, Subcommand)]
pub enum GroupCommand {
    /// Publishes a group
    Set(PublishArguments),
    /// Removes a group that no tenant uses
    Remove(RemoveArguments),
    /// Lists the groups and their databases
    List,
}

/// A document to publish.
#[derive(Clone, Debug, Args)]
pub struct PublishArguments {
    /// The document's file
    pub file: PathBuf,
    /// How to publish it
    #[command(flatten)]
    pub publication: Publication,
}

/// A document to remove.
#[derive(Clone, Debug, Args)]
pub struct RemoveArguments {
    /// The document's name
    pub name: String,
    /// How to publish its removal
    #[command(flatten)]
    pub publication: Publication,
}

/// How to publish a change.
#[derive(Clone, Debug, Args)]
pub struct Publication {
    /// Publish only if the configuration is still at this revision [default: the newest one]
    #[arg(long, value_name = "N")]
    pub expect_revision: Option<u64>,
    /// Who publishes, as the history tells
    #[arg(long, env = "USER", default_value = "unknown")]
    pub author: String,
    /// Time to go on trying while the key-value service doesn't answer
    #[arg(long, value_name = "DURATION", default_value = "20s", value_parser = humantime::parse_duration)]
    pub patience: Duration,
}

/// Which changes to list.
#[derive(Clone, Debug, Args)]
pub struct HistoryArguments {
    /// Only changes of this template
    pub name: Option<String>,
    /// How many of the newest changes to look at
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u32).range(1..=1_000))]
    pub limit: u32,
}

/// Which nodes to ask.
#[derive(Clone, Debug, Args)]
pub struct StatusArguments {
    /// Admin address of a node; may be repeated
    #[arg(long = "node", value_name = "IP:PORT", default_value = DEFAULT_NODE)]
    pub nodes: Vec<SocketAddr>,
}
