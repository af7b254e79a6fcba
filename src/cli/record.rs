//! Arguments of the `account`, `model` and `service` subcommands.

use argh::FromArgs;
use std::path::PathBuf;

/// Create, change or delete accounts.
#[derive(FromArgs)]
#[argh(subcommand, name = "account")]
pub(super) struct AccountArgs {
    #[argh(subcommand)]
    pub(super) command: AccountCommand,
}

/// Subcommands of `account`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum AccountCommand {
    /// Create or change an account.
    Put(AccountPut),
    /// Delete an account.
    Delete(AccountDelete),
}

/// Create or change an account.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct AccountPut {
    /// name of the account
    #[argh(positional)]
    pub name: String,
    /// key that its callers present; only its hash is sent and stored
    #[argh(option)]
    pub key: Option<String>,
    /// file that holds the key
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// share among accounts of the same priority (1)
    #[argh(option, default = "1")]
    pub weight: u32,
    /// priority; smaller values go first (1)
    #[argh(option, default = "1")]
    pub priority: u32,
    /// limit on requests a second over all daemons; 0 for none (0)
    #[argh(option, default = "0")]
    pub rate: u32,
    /// limit on requests in flight over all daemons; 0 for none (0)
    #[argh(option, default = "0")]
    pub open: u32,
    /// model that it may use (may be repeated); all models by default
    #[argh(option)]
    pub model: Vec<String>,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Delete an account.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct AccountDelete {
    /// name of the account
    #[argh(positional)]
    pub name: String,
    /// operation id; repeat it to retry safely after a lost response
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

/// Subcommands of `model`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ModelCommand {
    /// Create or change a model.
    Put(ModelPut),
    /// Delete a model that no group uses.
    Delete(ModelDelete),
}

/// Create or change a model.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct ModelPut {
    /// name of the model
    #[argh(positional)]
    pub name: String,
    /// version that new groups load
    #[argh(option)]
    pub version: String,
    /// number of hosts in one replica
    #[argh(option)]
    pub size: u32,
    /// adapter that every group loads (may be repeated)
    #[argh(option)]
    pub adapter: Vec<String>,
    /// minimum number of groups that planned work leaves in service (0)
    #[argh(option, default = "0")]
    pub floor: u32,
    /// gigabytes that each host reads from the weight store (1)
    #[argh(option, default = "1")]
    pub weights_gb: u32,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Delete a model that no group uses.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct ModelDelete {
    /// name of the model
    #[argh(positional)]
    pub name: String,
    /// operation id; repeat it to retry safely after a lost response
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

/// Subcommands of `service`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum ServiceCommand {
    /// Create or change a plain service.
    Put(ServicePut),
}

/// Create or change a plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub struct ServicePut {
    /// name of the service
    #[argh(positional)]
    pub name: String,
    /// its calls are idempotent and may be retried
    #[argh(switch)]
    pub idempotent: bool,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}
