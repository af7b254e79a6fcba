//! The command line of groups.

use argh::FromArgs;

/// Create, change, drain, delete or list groups.
#[derive(FromArgs)]
#[argh(subcommand, name = "group")]
pub(super) struct GroupArgs {
    #[argh(subcommand)]
    pub(super) command: GroupCommand,
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
