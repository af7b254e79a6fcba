//! What an operator should do next, from the burn rates and their causes.

use super::{
    burn::{Cause, Offender, OffenderKind, Row},
    objective::Objective,
};

/// A fast burn that spends a day's budget in under two hours.
const PAGE_BURN: f64 = 14.4;

/// A slow burn that spends a day's budget in four hours.
const TICKET_BURN: f64 = 6.0;

/// One line for each promise that is being broken, worst first.
pub(super) fn advice(rows: &[Row], causes: &[Cause], offenders: &[Offender]) -> Vec<String> {
    let mut broken: Vec<&Row> = rows
        .iter()
        .filter(|row| row.subject.is_none() && row.total > 0 && row.slow_burn > 1.0)
        .collect();
    broken.sort_by(|a, b| b.slow_burn.total_cmp(&a.slow_burn));
    if broken.is_empty() {
        return vec!["nothing: every budget holds".to_owned()];
    }
    broken
        .into_iter()
        .map(|row| line(row, causes, offenders))
        .collect()
}

fn line(row: &Row, causes: &[Cause], offenders: &[Offender]) -> String {
    let urgency = match (row.fast_burn > PAGE_BURN, row.slow_burn > TICKET_BURN) {
        (true, true) => "now",
        (true, false) => "now, it has just begun",
        (false, true) if row.fast_burn < row.slow_burn => "today; it is getting better",
        (false, true) => "today",
        (false, false) => "this week",
    };
    format!(
        "{} ({urgency}): {}",
        row.objective.name(),
        step(row.objective, causes, offenders)
    )
}

fn step(objective: Objective, causes: &[Cause], offenders: &[Offender]) -> String {
    let first = |kind| {
        let mut found = offenders
            .iter()
            .filter(move |offender| offender.kind == kind);
        found.next().map(|offender| offender.name.as_str())
    };
    match objective {
        Objective::FirstToken => {
            "look at `status` for groups out of service and at queues in /metrics; \
             add a group or lower a large account's weight"
                .to_owned()
        }
        Objective::TokenGap => match first(OffenderKind::Straggler) {
            Some(host) => format!("host {host} gave most of the late tokens; drain its group"),
            None => "the network or the daemon is late, not a runner; look at its load".to_owned(),
        },
        Objective::AnsweredWhole => match causes.first() {
            Some(cause) => worst(cause),
            None => "look at the log for changes of state".to_owned(),
        },
        Objective::GroupAvailable => {
            let group = first(OffenderKind::GroupDown).unwrap_or("each group");
            format!(
                "`status` names what keeps {group} out of service; replace dead hosts \
                 or free spares in that domain"
            )
        }
        Objective::AcceleratorsUsed => {
            "`status` lists spare hosts by domain; create groups there or return the hosts"
                .to_owned()
        }
    }
}

fn worst(cause: &Cause) -> String {
    let step = match cause.cause.as_str() {
        "refused: NoGroup" => "no group was in service; see `status`",
        "refused: Overloaded" => "add a group, or lower the limits of the largest account",
        "refused: PlatformDown" => "the platform's service is down; its owners must act",
        "refused: Stale" => "daemons hear neither the platform nor each other; check the network",
        "unknown: Stalled" | "unknown: Cut" => {
            "runners fell silent or cut answers; see which hosts the log names"
        }
        _ => "see the log for changes of state",
    };
    format!(
        "{} × {} for {} of {}: {step}",
        cause.count, cause.cause, cause.subject.account, cause.subject.target
    )
}
