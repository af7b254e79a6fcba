//! Arguments of the `explain` subcommand.

use argh::FromArgs;

/// Show where a daemon on the users' platform would send a request now, and why. Nothing is sent to
/// a runner.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainArgs {
    /// host name that the request names
    #[argh(option)]
    pub host: String,
    /// path of the request
    #[argh(option)]
    pub path: String,
    /// name of the caller's account (none)
    #[argh(option)]
    pub account: Option<String>,
    /// model that the request names (none)
    #[argh(option)]
    pub model: Option<String>,
    /// length of the prompt (0)
    #[argh(option, default = "0")]
    pub prompt_tokens: u32,
    /// maximum length of the answer (0)
    #[argh(option, default = "0")]
    pub answer_tokens: u32,
}
