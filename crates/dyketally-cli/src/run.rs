//! Carries out one command.

use std::io::Write;
use std::sync::Arc;

use clap::CommandFactory;
use dyketally::template::DocumentKind;
use dyketally_proxy::settings::HttpUrl;
use dyketally_proxy::stores::configuration_store::ConfigurationError;
use dyketally_proxy::stores::{ConfigurationKeys, ConfigurationStore, EtcdGateway, EtcdSettings};

use crate::command_line::{
    Command, CommandLine, GroupCommand, Options, TemplateCommand, TenantCommand,
};
use crate::failure::Failure;
use crate::output::Output;
use crate::{check, explain, history, listing, publish, show, status};

/// Carries out the command and prints to `writer`.
pub async fn run(
    command_line: &CommandLine,
    writer: &mut (dyn Write + Send),
) -> Result<(), Failure> {
    let options = &command_line.options;
    let mut output = Output {
        writer,
        form: options.output,
    };
    match &command_line.command {
        Command::Template(command) => run_template(command, options, &mut output).await,
        Command::Tenant(command) => run_tenant(command, options, &mut output).await,
        Command::Group(command) => run_group(command, options, &mut output).await,
        Command::Status(arguments) => status::status(&arguments.nodes, &mut output).await,
        Command::Explain { id, logs } => explain::explain(id, logs, &mut output),
        Command::Completions { shell } => {
            let mut command = CommandLine::command();
            clap_complete::generate(*shell, &mut command, "dyketally", &mut output.writer);
            Ok(())
        }
    }
}

async fn run_template(
    command: &TemplateCommand,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    if let TemplateCommand::Check { files } = command {
        return check::check(files, output);
    }
    let store = connect(options)?;
    match command {
        TemplateCommand::Check { .. } => Ok(()),
        TemplateCommand::Publish(arguments) => {
            publish::publish(&store, DocumentKind::Template, arguments, output).await
        }
        TemplateCommand::Show { name } => show::show(&store, name, output).await,
        TemplateCommand::History(arguments) => history::history(&store, arguments, output).await,
        TemplateCommand::Diff { file } => show::diff(&store, file, output).await,
    }
}

async fn run_tenant(
    command: &TenantCommand,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let store = connect(options)?;
    let kind = DocumentKind::Tenant;
    match command {
        TenantCommand::Set(arguments) => publish::publish(&store, kind, arguments, output).await,
        TenantCommand::Remove(arguments) => publish::remove(&store, kind, arguments, output).await,
        TenantCommand::List => listing::list_tenants(&store, output).await,
    }
}

async fn run_group(
    command: &GroupCommand,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let store = connect(options)?;
    let kind = DocumentKind::Group;
    match command {
        GroupCommand::Set(arguments) => publish::publish(&store, kind, arguments, output).await,
        GroupCommand::Remove(arguments) => publish::remove(&store, kind, arguments, output).await,
        GroupCommand::List => listing::list_groups(&store, output).await,
    }
}

fn connect(options: &Options) -> Result<ConfigurationStore, Failure> {
    let url = options.key_value.as_deref().ok_or(Failure::NoService)?;
    let Some(url) = HttpUrl::parse(url) else {
        let url = url.to_owned();
        return Err(Failure::MalformedUrl { url });
    };
    let settings = EtcdSettings::new(url.to_string());
    let gateway = EtcdGateway::new(settings).map_err(ConfigurationError::from);
    let gateway = Arc::new(gateway.map_err(Failure::Unavailable)?);
    Ok(ConfigurationStore::new(
        gateway,
        ConfigurationKeys::default(),
    ))
}
