//! Carries out one command.

use std::io::Write;

use clap::CommandFactory;
use dyketally::template::DocumentKind;

use crate::command_line::{
    Command, CommandLine, GroupCommand, Options, TemplateCommand, TenantCommand,
};
use crate::failure::Failure;
use crate::output::Output;
use crate::service::ConfigurationService;
use crate::{check, listing, publish, status};

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
    let service = connect(options)?;
    let service = service.as_ref();
    match command {
        TemplateCommand::Check { .. } => Ok(()),
        TemplateCommand::Publish(arguments) => {
            publish::publish(service, DocumentKind::Template, arguments, output).await
        }
        TemplateCommand::Show { name } => listing::show(service, name, output).await,
        TemplateCommand::History(arguments) => listing::history(service, arguments, output).await,
        TemplateCommand::Diff { file } => listing::diff(service, file, output).await,
    }
}

async fn run_tenant(
    command: &TenantCommand,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let service = connect(options)?;
    let service = service.as_ref();
    let kind = DocumentKind::Tenant;
    match command {
        TenantCommand::Set(arguments) => publish::publish(service, kind, arguments, output).await,
        TenantCommand::Remove(arguments) => publish::remove(service, kind, arguments, output).await,
        TenantCommand::List => listing::list_tenants(service, output).await,
    }
}

async fn run_group(
    command: &GroupCommand,
    options: &Options,
    output: &mut Output<'_>,
) -> Result<(), Failure> {
    let service = connect(options)?;
    let service = service.as_ref();
    let kind = DocumentKind::Group;
    match command {
        GroupCommand::Set(arguments) => publish::publish(service, kind, arguments, output).await,
        GroupCommand::Remove(arguments) => publish::remove(service, kind, arguments, output).await,
        GroupCommand::List => listing::list_groups(service, output).await,
    }
}

fn connect(_options: &Options) -> Result<Box<dyn ConfigurationService>, Failure> {
    todo!()
}
