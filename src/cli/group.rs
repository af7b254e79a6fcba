//! Arguments of the `group` subcommand.

use argh::FromArgs;

/// Create, change, drain, delete or list groups.
#[derive(FromArgs)]
#[argh(subcommand, name = "group")]
pub(super) struct GroupArgs {
    #[argh(subcommand)]
    pub(super) command: GroupCommand,
}

/// Subcommands of `group`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum GroupCommand {
    /// Create a group.
    Create(GroupCreate),
    /// Change a group.
    Change(GroupChange),
    /// Take a group out of service.
    Drain(GroupDrain),
    /// Put a drained group back into service.
    Undrain(GroupUndrain),
    /// Drain and delete a group.
    Delete(GroupDelete),
    /// List all groups.
    List(GroupList),
}

/// Create a group.
#[derive(FromArgs)]
#[argh(subcommand, name = "create")]
pub struct GroupCreate {
    /// name of the group
    #[argh(positional)]
    pub name: String,
    /// model that it serves
    #[argh(option)]
    pub model: String,
    /// fabric domain that it is placed in
    #[argh(option)]
    pub domain: String,
    /// version that it serves; the model's version by default
    #[argh(option, default = "String::new()")]
    pub version: String,
    /// number of hosts that it needs; the model's size by default
    #[argh(option, default = "0")]
    pub size: u32,
    /// account that may use it (may be repeated); all accounts by default
    #[argh(option)]
    pub account: Vec<String>,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Replace the definition of a group, unless it has changed since the given revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "change")]
pub struct GroupChange {
    /// name of the group
    #[argh(positional)]
    pub name: String,
    /// model that it serves
    #[argh(option)]
    pub model: String,
    /// fabric domain that it is placed in
    #[argh(option)]
    pub domain: String,
    /// revision that the change is based on
    #[argh(option)]
    pub based_on: i64,
    /// version that it serves; the model's version by default
    #[argh(option, default = "String::new()")]
    pub version: String,
    /// number of hosts that it needs; the model's size by default
    #[argh(option, default = "0")]
    pub size: u32,
    /// account that may use it (may be repeated); all accounts by default
    #[argh(option)]
    pub account: Vec<String>,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Take a group out of service; requests in flight are finished.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct GroupDrain {
    /// name of the group
    #[argh(positional)]
    pub name: String,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Put a drained group back into service.
#[derive(FromArgs)]
#[argh(subcommand, name = "undrain")]
pub struct GroupUndrain {
    /// name of the group
    #[argh(positional)]
    pub name: String,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Drain a group, then delete it.
#[derive(FromArgs)]
#[argh(subcommand, name = "delete")]
pub struct GroupDelete {
    /// name of the group
    #[argh(positional)]
    pub name: String,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// List the groups as known to one daemon.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct GroupList {}
