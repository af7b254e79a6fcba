//! Command-line arguments.
//!
//! The doc comments of argument types and fields are the help texts.

mod explain;
mod group;
mod record;
mod upgrade;

pub use explain::ExplainArgs;
pub use group::GroupCommand;
pub use record::{AccountCommand, ModelCommand, ServiceCommand};
pub use upgrade::UpgradeCommand;

use crate::exit_codes::ExitStatus;
use argh::{EarlyExit, FromArgs};
use group::GroupArgs;
use record::{AccountArgs, ModelArgs, ServiceArgs};
use std::{net::SocketAddr, path::PathBuf};
use upgrade::UpgradeArgs;

/// Parsed command line.
pub struct Cli {
    /// Daemon to connect to, and output format.
    pub target: Target,
    /// Command to run.
    pub command: Command,
}

/// Daemon that a command connects to, and the format of its output.
pub struct Target {
    /// Operator address of the daemon; for `entries`, its caller address, and for `explain`, the one
    /// that answers readiness.
    pub daemon: Option<SocketAddr>,
    /// Token that authenticates the operator.
    pub token: Option<String>,
    /// Path of a file that holds the token.
    pub token_file: Option<PathBuf>,
    /// True if output is written as JSON lines.
    pub json: bool,
}

/// Command given on the command line.
pub enum Command {
    /// Run a daemon.
    Run(RunArgs),
    /// Run a daemon on the users' platform.
    Platform(PlatformArgs),
    /// Validate a settings file.
    Check(CheckArgs),
    /// List the daemons that a caller should use.
    Entries(EntriesArgs),
    /// Show where a request would go now.
    Explain(ExplainArgs),
    /// Replay traces.
    Replay(ReplayArgs),
    /// Report on error budgets.
    Report(ReportArgs),
    /// Send an operator command to a daemon.
    Operator(OperatorCommand),
}

/// Command that needs the operators' token.
pub enum OperatorCommand {
    /// Manage groups.
    Group(GroupCommand),
    /// Manage accounts.
    Account(AccountCommand),
    /// Manage models.
    Model(ModelCommand),
    /// Manage plain services.
    Service(ServiceCommand),
    /// Manage upgrades.
    Upgrade(UpgradeCommand),
    /// Show the whole status of a daemon.
    Status,
}

/// Parses the command line; prints the help text or a usage error if there is no command to run.
pub fn parse() -> Result<Cli, ExitStatus> {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let (program, rest) = args.split_first().unwrap_or((&"hickoryledge", &[]));
    let program = program.rsplit('/').next().unwrap_or(program);
    match Args::from_args(&[program], rest) {
        Ok(args) => Ok(args.into()),
        Err(EarlyExit { output, status }) => {
            if status.is_ok() {
                println!("{output}");
                return Err(ExitStatus::Success);
            }
            eprintln!("{output}");
            Err(ExitStatus::Usage)
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
            Subcommand::Explain(args) => Command::Explain(args),
            Subcommand::Group(args) => Command::Operator(OperatorCommand::Group(args.command)),
            Subcommand::Account(args) => Command::Operator(OperatorCommand::Account(args.command)),
            Subcommand::Model(args) => Command::Operator(OperatorCommand::Model(args.command)),
            Subcommand::Service(args) => Command::Operator(OperatorCommand::Service(args.command)),
            Subcommand::Upgrade(args) => Command::Operator(OperatorCommand::Upgrade(args.command)),
            Subcommand::Replay(args) => Command::Replay(args),
            Subcommand::Report(args) => Command::Report(args),
            Subcommand::Status(_) => Command::Operator(OperatorCommand::Status),
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
    /// operator address of the daemon (for `entries`, its caller address; for `explain`, the one that
    /// answers readiness), such as 10.0.0.1:7003
    #[argh(option)]
    daemon: Option<SocketAddr>,
    /// operators' token; better given in a file or in HICKORYLEDGE_TOKEN
    #[argh(option)]
    token: Option<String>,
    /// file that holds the operators' token
    #[argh(option)]
    token_file: Option<PathBuf>,
    /// print one JSON object per line (`explain`: one in all) instead of a table
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
    Explain(ExplainArgs),
    Group(GroupArgs),
    Account(AccountArgs),
    Model(ModelArgs),
    Service(ServiceArgs),
    Upgrade(UpgradeArgs),
    Status(StatusArgs),
    Replay(ReplayArgs),
    Report(ReportArgs),
}

/// Run a daemon until SIGTERM or SIGINT, then drain its streams and exit.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
    /// record every input to this file, for `replay` and `report`
    #[argh(option)]
    pub record: Option<PathBuf>,
}

/// Run a daemon on the users' platform until SIGTERM and the end of its grace period.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// settings file; by default the one that the platform names in the environment
    #[argh(option)]
    pub settings: Option<PathBuf>,
}

/// Validate a settings file and report every error with its position.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// settings file
    #[argh(option)]
    pub settings: PathBuf,
}

/// List the daemons that a caller should use.
#[derive(FromArgs)]
#[argh(subcommand, name = "entries")]
pub struct EntriesArgs {
    /// key of the account
    #[argh(option)]
    pub key: Option<String>,
    /// file that holds the account's key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// model to call
    #[argh(option)]
    pub model: Option<String>,
}

/// Replay traces and check the outcomes that they expect.
#[derive(FromArgs)]
#[argh(subcommand, name = "replay")]
pub struct ReplayArgs {
    /// trace files, or directories of them
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// print every output instead of a table
    #[argh(switch)]
    pub outputs: bool,
}

/// Report how fast the error budgets are spent, and recommend actions.
#[derive(FromArgs)]
#[argh(subcommand, name = "report")]
pub struct ReportArgs {
    /// recording to report on; by default the running daemon
    #[argh(option)]
    pub recording: Option<PathBuf>,
    /// settings file with the objectives that apply to a recording
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// write an HTML page with plots to this file
    #[argh(option)]
    pub html: Option<PathBuf>,
}

/// Show the state known to one daemon, and the revision in use on each daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct StatusArgs {}
