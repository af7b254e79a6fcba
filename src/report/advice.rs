//! Recommends an operator's next steps from the burn rates and the causes of bad events.

use super::{
    burn::{Cause, ObjectiveRow, Offender, OffenderKind},
    objective::Objective,
};

/// Fast burn rate above which to act now: it spends a day's budget in under two hours.
const PAGE_BURN_RATE: f64 = 14.4;

/// Slow burn rate above which to act today: it spends a day's budget in four hours.
const TICKET_BURN_RATE: f64 = 6.0;

/// Returns one line for each objective whose budget is being overspent, fastest burn first.
pub(super) fn advice(
    rows: &[ObjectiveRow],
    causes: &[Cause],
    offenders: &[Offender],
) -> Vec<String> {
    let mut overspent: Vec<&ObjectiveRow> = rows
        .iter()
        .filter(|row| row.subject.is_none() && row.total > 0 && row.slow_burn > 1.0)
        .collect();
    overspent.sort_by(|a, b| b.slow_burn.total_cmp(&a.slow_burn));
    if overspent.is_empty() {
        return vec!["nothing to do: no error budget is being overspent".to_owned()];
    }
    overspent
        .into_iter()
        .map(|row| advice_line(row, causes, offenders))
        .collect()
}

fn advice_line(row: &ObjectiveRow, causes: &[Cause], offenders: &[Offender]) -> String {
    let urgency = match (
        row.fast_burn > PAGE_BURN_RATE,
        row.slow_burn > TICKET_BURN_RATE,
    ) {
        (true, true) => "now",
        (true, false) => "now; it began recently",
        (false, true) if row.fast_burn < row.slow_burn => "today; it is improving",
        (false, true) => "today",
        (false, false) => "this week",
    };
    format!(
        "{} ({urgency}): {}",
        row.objective.name(),
        next_step(row.objective, causes, offenders)
    )
}

fn next_step(objective: Objective, causes: &[Cause], offenders: &[Offender]) -> String {
    let first = |kind| {
        let mut matching = offenders
            .iter()
            .filter(move |offender| offender.kind == kind);
        matching.next().map(|offender| offender.name.as_str())
    };
    match objective {
        Objective::FirstToken => {
            "check `status` for groups out of service and /metrics for queue lengths; \
             add a group or lower the weight of a large account"
                .to_owned()
        }
        Objective::TokenGap => match first(OffenderKind::Straggler) {
            Some(host) => format!("host {host} sent most of the late tokens; drain its group"),
            None => {
                "the network or the daemon adds the delay, not a runner; check the daemon's load"
                    .to_owned()
            }
        },
        Objective::AnsweredWhole => match causes.first() {
            Some(cause) => cause_advice(cause),
            None => "check the log for state changes".to_owned(),
        },
        Objective::GroupAvailable => {
            let group = first(OffenderKind::GroupDown).unwrap_or("each group");
            format!(
                "`status` shows what keeps {group} out of service; replace dead hosts \
                 or free up spare hosts in that domain"
            )
        }
        Objective::AcceleratorsUsed => {
            "`status` lists spare hosts by domain; create groups there or return the hosts"
                .to_owned()
        }
    }
}

fn cause_advice(cause: &Cause) -> String {
    let step = match cause.cause.as_str() {
        "refused: NoGroup" => "no group was in service; check `status`",
        "refused: Overloaded" => "add a group or lower the limits of the largest account",
        "refused: PlatformDown" => "the platform's service is unavailable; contact its owners",
        "refused: Stale" => "daemons reach neither the platform nor each other; check the network",
        "unknown: Stalled" | "unknown: Cut" => {
            "runners stalled or closed streams early; check the log for their hosts"
        }
        _ => "check the log for state changes",
    };
    format!(
        "{} × {} for {} of {}: {step}",
        cause.count, cause.cause, cause.subject.account, cause.subject.target
    )
}
