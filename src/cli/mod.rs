//! The command line.

mod group;
mod record;
mod upgrade;

pub use group::GroupCommand;
pub use record::{AccountCommand, ModelCommand, ServiceCommand};
pub use upgrade::UpgradeCommand;

use crate::exit_codes::Exit;
use argh::{EarlyExit, FromArgs};
use group::GroupArgs;
use record::{AccountArgs, ModelArgs, ServiceArgs};
use std::{net::SocketAddr, path::PathBuf};
use upgrade::UpgradeArgs;

/// The command line, read.
pub struct Cli {
    /// Which daemon to ask, and how.
    pub target: Target,
    /// What to do.
    pub command: Command,
}

/// Which daemon to ask, and how to write what it says.
pub struct Target {
    /// Its operator address; for `entries`, its caller address.
    pub daemon: Option<SocketAddr>,
    /// The operators' token.
    pub token: Option<String>,
    /// A file that holds the token.
    pub token_file: Option<PathBuf>,
    /// Write JSON lines.
    pub json: bool,
}

/// What to do.
pub enum Command {
    /// Run a daemon.
    Run(RunArgs),
    /// Run a daemon on the users' platform.
    Platform(PlatformArgs),
    /// Check settings.
    Check(CheckArgs),
    /// Ask which daemons to use.
    Entries(EntriesArgs),
    /// Replay traces.
    Replay(ReplayArgs),
    /// Report on service-level burn.
    Report(ReportArgs),
    /// Ask a daemon as an operator.
    Operate(Operate),
}

/// An operator's command.
pub enum Operate {
    /// Groups.
    Group(GroupCommand),
    /// Accounts.
    Account(AccountCommand),
    /// Models.
    Model(ModelCommand),
    /// Plain services.
    Service(ServiceCommand),
    /// Upgrades.
    Upgrade(UpgradeCommand),
    /// Everything.
    Status,
}

/// Reads the command line; prints help or what is wrong with it.
pub fn parse() -> Result<Cli, Exit> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let (program, rest) = words.split_first().unwrap_or((&"hickoryledge", &[]));
    let program = program.rsplit('/').next().unwrap_or(program);
    match Args::from_args(&[program], rest) {
        Ok(args) => Ok(args.into()),
        Err(EarlyExit { output, status }) => {
            if status.is_ok() {
                println!("{output}");
                return Err(Exit::Success);
            }
            eprintln!("{output}");
            Err(Exit::Usage)
        }
    }
}

impl From<Args> for Cli {
    fn from(args: Args) -> Self {
        let command = match args.command {
            Subcommand::Run(args) => Command::Run(args),
            Subcommand::Platform(args) => Command::Platform(args),
            Subcommand::Check(args) => Command::Check(args),
            Subcommand::Entries(args) => Command::Entries(args),
            Subcommand::Group(args) => Command::Operate(Operate::Group(args.command)),
            Subcommand::Account(args) => Command::Operate(Operate::Account(args.command)),
            Subcommand::Model(args) => Command::Operate(Operate::Model(args.command)),
            Subcommand::Service(args) => Command::Operate(Operate::Service(args.command)),
            Subcommand::Upgrade(args) => Command::Operate(Operate::Upgrade(args.command)),
            Subcommand::Replay(args) => Command::Replay(args),
            Subcommand::Report(args) => Command::Report(args),
            Subcommand::Status(_) => Command::Operate(Operate::Status),
        };
        Self {
            target: Target {
                daemon: args.daemon,
                token: args.token,
                token_file: args.token_file,
                json: args.json,
            },
            command,
        }
    }
}

/// Serves large models whose replicas span several hosts.
#[derive(FromArgs)]
struct Args {
    /// the daemon's operator address (for `entries`, its caller address), such as 10.0.0.1:7003
    #[argh(option)]
    daemon: Option<SocketAddr>,
    /// the operators' token; better given in a file or in HICKORYLEDGE_TOKEN
    #[argh(option)]
    token: Option<String>,
    /// a file that holds the operators' token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// write one JSON object a line instead of a table
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Run(RunArgs),
    Platform(PlatformArgs),
    Check(CheckArgs),
    Entries(EntriesArgs),
    Group(GroupArgs),
    Account(AccountArgs),
    Model(ModelArgs),
    Service(ServiceArgs),
    Upgrade(UpgradeArgs),
    Status(StatusArgs),
    Replay(ReplayArgs),
    Report(ReportArgs),
}

/// Run a daemon until it is told to stop (SIGTERM or SIGINT) and its streams have ended.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// the settings file
    #[argh(option)]
    pub settings: PathBuf,
    /// write every input to this file, for `replay` and `report`
    #[argh(option)]
    pub record: Option<PathBuf>,
}

/// Run a daemon on the users' platform until it is told to stop (SIGTERM) and its grace period is over.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// the settings file; the one that the platform names if left out
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

/// Check a settings file and name every fault with its place.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// the settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// Ask as a caller which daemons to use.
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct EntriesArgs {
    /// the account's key
    #[argh(option)]
    pub key: Option<String>,
    /// a file that holds the account's key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// the model that is to be called
    #[argh(option)]
    pub model: Option<String>,
}

/// Replay traces and check their stated outcomes.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArgs {
    /// traces, or folders of traces
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// print every output instead of the table
    #[argh(switch)]
    pub outputs: bool,
}

/// Report how fast the error budgets are spent, and what to do next.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// a recording to report on; the running daemon if left out
    #[argh(option)]
    pub recording: Option<PathBuf>,
    /// the settings whose objectives a recording is held to
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// write a page with plots to this file
    #[argh(option)]
    pub html: Option<PathBuf>,
}

/// Show everything that one daemon knows, and the revision in force on each.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {}
