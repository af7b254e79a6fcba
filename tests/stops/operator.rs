//! Operator that carries out a schedule, kills daemons after their grace period and restarts them.

use super::{
    fleet::Fleet,
    schedule::{Act, Schedule},
};
use nix::sys::signal::Signal;
use std::{thread, time::Duration};

/// Interval at which the processes are looked after.
const CHECK_INTERVAL: Duration = Duration::from_millis(3);

/// Carries out a schedule until its end and until no daemon is stopping.
pub fn run(fleet: &Fleet, schedule: &Schedule) {
    let mut acts = schedule.acts.iter().peekable();
    loop {
        let elapsed = fleet.started.elapsed();
        while let Some((_, act)) = acts.next_if(|(at, _)| *at <= elapsed) {
            perform(fleet, *act);
        }
        for index in 0..fleet.size() {
            kill_if_overdue(fleet, index);
            fleet.restart_if_ended(index);
        }
        let is_over = acts.peek().is_none() && elapsed >= schedule.end;
        if is_over && !is_stopping(fleet) {
            return;
        }
        thread::sleep(CHECK_INTERVAL);
    }
}

fn perform(fleet: &Fleet, act: Act) {
    match act {
        Act::Signal { daemon, signal } => fleet.slot(daemon).signal(signal),
        Act::Silence { head, span } => fleet.heads[head].go_silent(span),
    }
}

/// Kills a daemon whose grace period has passed, as the platform does.
fn kill_if_overdue(fleet: &Fleet, index: usize) {
    let mut slot = fleet.slot(index);
    let is_overdue = slot
        .life
        .stop()
        .is_some_and(|stop| stop.elapsed() >= fleet.grace);
    let was_killed = slot
        .life
        .signals
        .iter()
        .any(|(signal, _)| *signal == Signal::SIGKILL);
    if is_overdue && !was_killed {
        slot.signal(Signal::SIGKILL);
    }
}

fn is_stopping(fleet: &Fleet) -> bool {
    (0..fleet.size()).any(|index| fleet.slot(index).life.stop().is_some())
}
