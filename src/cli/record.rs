//! The command line of accounts, models and plain services.

use argh::FromArgs;
use std::path::PathBuf;

/// Create, change or delete accounts.
#[derive(FromArgs)]
#[argh(subcommand, name = "account")]
pub(super) struct AccountArgs {
    #[argh(subcommand)]
    pub(super) command: AccountCommand,
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
pub(super) struct ModelArgs {
    #[argh(subcommand)]
    pub(super) command: ModelCommand,
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
pub(super) struct ServiceArgs {
    #[argh(subcommand)]
    pub(super) command: ServiceCommand,
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
