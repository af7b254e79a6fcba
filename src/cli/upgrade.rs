//! The command line of upgrades.

use argh::FromArgs;

/// Start, pause, resume, abort or watch upgrades.
#[derive(FromArgs)]
#[argh(subcommand, name = "upgrade")]
pub(super) struct UpgradeArgs {
    #[argh(subcommand)]
    pub(super) command: UpgradeCommand,
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
