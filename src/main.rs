//! Entry point of the `hickoryledge` program.

mod cli;
mod commands;
mod error;
mod exit_codes;
mod logging;
mod runtime;

use cli::{Cli, Command};
use commands::{check, entries, explain, gateway, operator, replay, report, run};
use error::CommandError;
use exit_codes::ExitStatus;
use hickoryledge::platform::{Platform, SETTINGS_VARIABLE};

fn main() -> ExitStatus {
    let cli = match cli::parse() {
        Ok(cli) => cli,
        Err(exit) => return exit,
    };
    match dispatch(cli) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            eprintln!("hickoryledge: {error}");
            error.exit
        }
    }
}

fn dispatch(cli: Cli) -> Result<(), CommandError> {
    match cli.command {
        Command::Run(args) => run::run(&args),
        Command::Platform(args) => gateway::run::<Platform>(&args, SETTINGS_VARIABLE),
        Command::Check(args) => check::run(&args),
        Command::Entries(args) => entries::run(&cli.target, &args),
        Command::Explain(args) => explain::run(&cli.target, args),
        Command::Replay(args) => replay::run(&args),
        Command::Report(args) => report::run(&cli.target, &args),
        Command::Operator(command) => operator::run(&cli.target, command),
    }
}
