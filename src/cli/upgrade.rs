//! Arguments of the `upgrade` subcommand.

use argh::FromArgs;

/// Start, pause, resume, abort or list upgrades.
#[derive(FromArgs)]
#[argh(subcommand, name = "upgrade")]
pub(super) struct UpgradeArgs {
    #[argh(subcommand)]
    pub(super) command: UpgradeCommand,
}

/// Subcommands of `upgrade`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum UpgradeCommand {
    /// Start an upgrade.
    Start(UpgradeStart),
    /// Pause an upgrade.
    Pause(UpgradePause),
    /// Resume a paused upgrade.
    Resume(UpgradeResume),
    /// Abort an upgrade and roll back.
    Abort(UpgradeAbort),
    /// List all upgrades.
    Status(UpgradeStatus),
}

/// Start an upgrade of a model's groups.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub struct UpgradeStart {
    /// name of the upgrade
    #[argh(positional)]
    pub name: String,
    /// model whose groups are upgraded
    #[argh(option)]
    pub model: String,
    /// version to load
    #[argh(option)]
    pub to: String,
    /// number of groups upgraded at once (1)
    #[argh(option, default = "1")]
    pub width: u32,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Pause an upgrade: start no further step.
#[derive(FromArgs)]
#[argh(subcommand, name = "pause")]
pub struct UpgradePause {
    /// name of the upgrade
    #[argh(positional)]
    pub name: String,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Resume a paused upgrade.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct UpgradeResume {
    /// name of the upgrade
    #[argh(positional)]
    pub name: String,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// Abort an upgrade and roll its groups back to the previous version.
#[derive(FromArgs)]
#[argh(subcommand, name = "abort")]
pub struct UpgradeAbort {
    /// name of the upgrade
    #[argh(positional)]
    pub name: String,
    /// operation id; repeat it to retry safely after a lost response
    #[argh(option)]
    pub operation: Option<u64>,
}

/// List the upgrades and their progress.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct UpgradeStatus {}
