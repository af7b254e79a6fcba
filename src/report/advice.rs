//! What an operator should do next, from the burn rates and their causes.

use super::{
    burn::{Cause, Row},
    objective::Objective,
};

/// A fast burn that spends a day's budget in under two hours.
const PAGE_BURN: f64 = 14.4;

/// A slow burn that spends a day's budget in four hours.
const TICKET_BURN: f64 = 6.0;

/// One line for each promise that is being broken, worst first.
pub(super) fn advice(rows: &[Row], causes: &[Cause]) -> Vec<String> {
    let mut broken: Vec<&Row> = rows
        .iter()
        .filter(|row| row.subject.is_none() && row.total > 0 && row.slow_burn > 1.0)
        .collect();
    broken.sort_by(|a, b| b.slow_burn.total_cmp(&a.slow_burn));
    if broken.is_empty() {
        return vec!["nothing: every budget holds".to_owned()];
    }
    broken.into_iter().map(|row| line(row, causes)).collect()
}

fn line(row: &Row, causes: &[Cause]) -> String {
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
        step(row.objective, causes)
    )
}

fn step(objective: Objective, causes: &[Cause]) -> String {
    match objective {
        Objective::FirstToken => {
            "look at `status` for groups out of service and at queues in /metrics; \
             add a group or lower a large account's weight"
                .to_owned()
        }
        Objective::TokenGap => {
            "look for a straggler: a host whose token gap in /metrics is far above its peers; \
             drain its group"
                .to_owned()
        }
        Objective::AnsweredWhole => match causes.first() {
            Some(cause) => worst(cause),
            None => "look at the log for changes of state".to_owned(),
        },
        Objective::GroupAvailable => {
            "`status` names what keeps each group out of service; replace dead hosts \
             or free spares in that domain"
                .to_owned()
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
