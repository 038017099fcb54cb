//! `dyketally`: the operators' command line.

use std::process::ExitCode;

use clap::Parser;
use dyketally_cli::command_line::CommandLine;
use dyketally_cli::{ExitStatus, run};

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let command_line = CommandLine::parse();
    let status = match run(&command_line, &mut std::io::stdout()).await {
        Ok(()) => ExitStatus::Success,
        Err(failure) => {
            eprintln!("error: {failure}");
            failure.exit_status()
        }
    };
    Ok(status.into())
}
