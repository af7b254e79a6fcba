//! `report`: service-level burn, of a running daemon or of a recording.

use std::{fs, path::Path};

use hickoryledge::{
    replay::Trace,
    report::{self, Objectives, Report},
    settings,
    wire::operator::BurnRequest,
};

use super::{operate, patience::talk};
use crate::{
    cli::{ReportArgs, Target},
    error::CommandError,
    exit_codes::Exit,
};

/// Prints the report, and writes its page if one is asked for.
pub fn run(target: &Target, args: &ReportArgs) -> Result<(), CommandError> {
    let report = match &args.recording {
        Some(path) => of_recording(path, args.settings.as_deref())?,
        None => of_daemon(target)?,
    };
    if let Some(path) = &args.html {
        write_page(&report, path)?;
    }
    match target.json {
        true => println!("{}", serde_json::to_string(&report).unwrap_or_default()),
        false => print!("{}", report::render_text(&report)),
    }
    Ok(())
}

fn of_recording(path: &Path, file: Option<&Path>) -> Result<Report, CommandError> {
    let objectives = match file {
        Some(file) => {
            settings::read(file)
                .map_err(|error| CommandError::local(Exit::BadSettings, "read settings", error))?
                .objectives
        }
        None => Objectives::default(),
    };
    let trace = Trace::read(path).map_err(|fault| {
        let reason = format!("{}: {fault}", path.display());
        CommandError::local(Exit::Failure, "read the recording", reason)
    })?;
    report::build_trace_report(&trace, &objectives).map_err(|divergence| {
        let reason = format!("{}: {divergence}", path.display());
        CommandError::local(Exit::Failure, "replay the recording", reason)
    })
}

fn of_daemon(target: &Target) -> Result<Report, CommandError> {
    talk(target, async {
        let mut session = operate::connect(target).await?;
        let reply = session.client.get_burn(BurnRequest {}).await;
        let reply = reply
            .map_err(|status| CommandError::answered("read the report", session.peer, &status))?;
        serde_json::from_str(&reply.into_inner().report)
            .map_err(|error| CommandError::local(Exit::Failure, "read the report", error))
    })
}

fn write_page(report: &Report, path: &Path) -> Result<(), CommandError> {
    let page = report::render_html(report)
        .map_err(|error| CommandError::local(Exit::Failure, "draw the page", error))?;
    fs::write(path, page).map_err(|error| {
        let reason = format!("{}: {error}", path.display());
        CommandError::local(Exit::Failure, "write the page", reason)
    })
}
