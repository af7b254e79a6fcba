//! The `report` subcommand, which reports error budgets of a running daemon or of a recording.

use std::{fs, path::Path};

use hickoryledge::{
    replay::Trace,
    report::{self, Objectives, Report},
    settings,
    wire::operator::BurnRequest,
};

use super::{operator, timeout::run_with_timeout};
use crate::{
    cli::{ReportArgs, Target},
    error::CommandError,
    exit_codes::ExitStatus,
};

/// Prints the report, and writes it as an HTML page if `--html` is given.
pub fn run(target: &Target, args: &ReportArgs) -> Result<(), CommandError> {
    let report = match &args.recording {
        Some(path) => report_from_recording(path, args.settings.as_deref())?,
        None => report_from_daemon(target)?,
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

/// Replays a recording and reports on it; the default objectives apply without a settings file.
fn report_from_recording(
    path: &Path,
    settings_file: Option<&Path>,
) -> Result<Report, CommandError> {
    let objectives = match settings_file {
        Some(settings_file) => {
            settings::read(settings_file)
                .map_err(|error| {
                    CommandError::local(
                        ExitStatus::InvalidSettings,
                        "failed to read settings",
                        error,
                    )
                })?
                .objectives
        }
        None => Objectives::default(),
    };
    let trace = Trace::read(path).map_err(|error| {
        let reason = format!("{}: {error}", path.display());
        CommandError::local(ExitStatus::Failure, "failed to read the recording", reason)
    })?;
    report::build_trace_report(&trace, &objectives).map_err(|divergence| {
        let reason = format!("{}: {divergence}", path.display());
        CommandError::local(
            ExitStatus::Failure,
            "failed to replay the recording",
            reason,
        )
    })
}

/// Fetches the report of a running daemon.
fn report_from_daemon(target: &Target) -> Result<Report, CommandError> {
    run_with_timeout(target, async {
        let mut session = operator::connect(target).await?;
        let reply = session.client.get_burn(BurnRequest {}).await;
        let reply = reply.map_err(|status| {
            CommandError::from_status("failed to read the report", session.daemon, &status)
        })?;
        serde_json::from_str(&reply.into_inner().report).map_err(|error| {
            CommandError::local(ExitStatus::Failure, "failed to read the report", error)
        })
    })
}

fn write_page(report: &Report, path: &Path) -> Result<(), CommandError> {
    let page = report::render_html(report).map_err(|error| {
        CommandError::local(ExitStatus::Failure, "failed to render the page", error)
    })?;
    fs::write(path, page).map_err(|error| {
        let reason = format!("{}: {error}", path.display());
        CommandError::local(ExitStatus::Failure, "failed to write the page", reason)
    })
}
