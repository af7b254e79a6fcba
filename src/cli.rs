//! The command line.

use {
    crate::exit_codes::Exit,
    argh::{EarlyExit, FromArgs},
    std::{net::SocketAddr, path::PathBuf},
};

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

/// Create, change, drain, delete or list groups.
#[derive(FromArgs)]
#[argh(subcommand, name = "group")]
struct GroupArgs {
    #[argh(subcommand)]
    command: GroupCommand,
}

/// What to do with groups.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum GroupCommand {
    /// Create one.
    Create(GroupCreate),
    /// Change one.
    Change(GroupChange),
    /// Take one out of service.
    Drain(GroupDrain),
    /// Put one back into service.
    Undrain(GroupUndrain),
    /// Drain and forget one.
    Delete(GroupDelete),
    /// Show all.
    List(GroupList),
}

/// Create a group.
#[derive(FromArgs)]
#[argh(subcommand, name = "create")]
pub struct GroupCreate {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the model that it serves
    #[argh(option)]
    pub model: String,
    /// the fabric domain that it is placed in
    #[argh(option)]
    pub domain: String,
    /// the version that it serves; the model's by default
    #[argh(option, default = "String::new()")]
    pub version: String,
    /// the hosts that it needs; as many as the model says by default
    #[argh(option, default = "0")]
    pub size: u32,
    /// an account that may use it; repeat for more; all by default
    #[argh(option)]
    pub account: Vec<String>,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Change a group as a whole, based on the revision last seen.
#[derive(FromArgs)]
#[argh(subcommand, name = "change")]
pub struct GroupChange {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the model that it serves
    #[argh(option)]
    pub model: String,
    /// the fabric domain that it is placed in
    #[argh(option)]
    pub domain: String,
    /// the revision that the change is based on
    #[argh(option)]
    pub based_on: i64,
    /// the version that it serves; the model's by default
    #[argh(option, default = "String::new()")]
    pub version: String,
    /// the hosts that it needs; as many as the model says by default
    #[argh(option, default = "0")]
    pub size: u32,
    /// an account that may use it; repeat for more; all by default
    #[argh(option)]
    pub account: Vec<String>,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Take a group out of service; what runs on it is finished.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct GroupDrain {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Put a drained group back into service.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct GroupUndrain {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Drain a group, then forget it.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct GroupDelete {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Show the groups as one daemon sees them.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct GroupList {}

/// Create, change or delete accounts.
#[derive(FromArgs)]
#[argh(subcommand, name = "account")]
struct AccountArgs {
    #[argh(subcommand)]
    command: AccountCommand,
}

/// What to do with accounts.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum AccountCommand {
    /// Create or change one.
    Put(AccountPut),
    /// Delete one.
    Delete(AccountDelete),
}

/// Create or change an account.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct AccountPut {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the key that its callers present; only its hash is sent and kept
    #[argh(option)]
    pub key: Option<String>,
    /// a file that holds the key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// its share among accounts of the same priority (1)
    #[argh(option, default = "1")]
    pub weight: u32,
    /// its priority; smaller goes first (1)
    #[argh(option, default = "1")]
    pub priority: u32,
    /// requests a second over all daemons; 0 for no limit (0)
    #[argh(option, default = "0")]
    pub rate: u32,
    /// requests open at once over all daemons; 0 for no limit (0)
    #[argh(option, default = "0")]
    pub open: u32,
    /// a model that it may use; repeat for more; all by default
    #[argh(option)]
    pub model: Vec<String>,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Delete an account.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct AccountDelete {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Create, change or delete models.
#[derive(FromArgs)]
#[argh(subcommand, name = "model")]
struct ModelArgs {
    #[argh(subcommand)]
    command: ModelCommand,
}

/// What to do with models.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ModelCommand {
    /// Create or change one.
    Put(ModelPut),
    /// Delete one.
    Delete(ModelDelete),
}

/// Create or change a model.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct ModelPut {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the version that new groups load
    #[argh(option)]
    pub version: String,
    /// hosts in one replica
    #[argh(option)]
    pub size: u32,
    /// an adapter that every group loads; repeat for more
    #[argh(option)]
    pub adapter: Vec<String>,
    /// the fewest groups that planned work leaves in service (0)
    #[argh(option, default = "0")]
    pub floor: u32,
    /// gigabytes read from the weight store for each host (1)
    #[argh(option, default = "1")]
    pub weights_gb: u32,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Delete a model that no group uses.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct ModelDelete {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Create or change plain services.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    #[argh(subcommand)]
    command: ServiceCommand,
}

/// What to do with plain services.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ServiceCommand {
    /// Create or change one.
    Put(ServicePut),
}

/// Create or change a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct ServicePut {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// its calls may be run twice
    #[argh(switch)]
    pub idempotent: bool,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Start, pause, resume, abort or watch upgrades.
#[derive(FromArgs)]
#[argh(subcommand, name = "upgrade")]
struct UpgradeArgs {
    #[argh(subcommand)]
    command: UpgradeCommand,
}

/// What to do with upgrades.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum UpgradeCommand {
    /// Start one.
    Start(UpgradeStart),
    /// Start no further step.
    Pause(UpgradePause),
    /// Go on.
    Resume(UpgradeResume),
    /// Go back.
    Abort(UpgradeAbort),
    /// Show all.
    Status(UpgradeShow),
}

/// Start an upgrade of a model's groups.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub struct UpgradeStart {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the model
    #[argh(option)]
    pub model: String,
    /// the version to load
    #[argh(option)]
    pub to: String,
    /// groups taken through at once (1)
    #[argh(option, default = "1")]
    pub width: u32,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Start no further step of an upgrade.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
pub struct UpgradePause {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Go on with a paused upgrade.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct UpgradeResume {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Take an upgrade's groups back to the version before.
#[derive(FromArgs)]
#[argh(subcommand, name = "abort")]
pub struct UpgradeAbort {
    /// its name
    #[argh(positional)]
    pub name: String,
    /// the operation's number, to ask again after a lost answer
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Show the upgrades and how far they are.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct UpgradeShow {}

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
