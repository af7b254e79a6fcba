//! Operator commands that print a daemon's status.

use super::{
    super::table::{self, Row},
    Session,
};
use crate::error::CommandError;
use hickoryledge::wire::operator::{DaemonStatus, DomainStatus, GroupStatus, UpgradeStatus};
use serde::Serialize;

/// Row of the daemon that responds.
#[derive(Serialize)]
struct SelfRow {
    kind: &'static str,
    daemon: String,
    revision: i64,
    fresh: bool,
}

#[derive(Serialize)]
struct GroupRow {
    kind: &'static str,
    group: String,
    model: String,
    version: String,
    domain: String,
    epoch: i64,
    state: String,
    hosts: Vec<String>,
    trouble: String,
}

#[derive(Serialize)]
struct DaemonRow {
    kind: &'static str,
    daemon: String,
    state: String,
    revision: i64,
}

#[derive(Serialize)]
struct DomainRow {
    kind: &'static str,
    domain: String,
    holder: String,
    spare: Vec<String>,
    lost: Vec<String>,
    stranded: u32,
}

#[derive(Serialize)]
struct UpgradeRow {
    kind: &'static str,
    upgrade: String,
    model: String,
    from: String,
    to: String,
    state: String,
    upgraded: u32,
    groups: u32,
}

pub(super) async fn groups(session: &mut Session) -> Result<(), CommandError> {
    let status = session.status().await?;
    let rows: Vec<GroupRow> = status.groups.into_iter().map(GroupRow::from).collect();
    table::print(session.json, &rows);
    Ok(())
}

pub(super) async fn upgrades(session: &mut Session) -> Result<(), CommandError> {
    let status = session.status().await?;
    let rows: Vec<UpgradeRow> = status.upgrades.into_iter().map(UpgradeRow::from).collect();
    table::print(session.json, &rows);
    Ok(())
}

pub(super) async fn status(session: &mut Session) -> Result<(), CommandError> {
    let status = session.status().await?;
    let json = session.json;
    let row = SelfRow {
        kind: "self",
        daemon: status.daemon,
        revision: status.revision,
        fresh: status.fresh,
    };
    let daemons = status.daemons.into_iter().map(DaemonRow::from);
    let domains = status.domains.into_iter().map(DomainRow::from);
    let groups = status.groups.into_iter().map(GroupRow::from);
    let upgrades = status.upgrades.into_iter().map(UpgradeRow::from);
    print_section(json, &[row]);
    print_section(json, &daemons.collect::<Vec<_>>());
    print_section(json, &domains.collect::<Vec<_>>());
    print_section(json, &groups.collect::<Vec<_>>());
    print_section(json, &upgrades.collect::<Vec<_>>());
    Ok(())
}

/// Prints rows of one kind, if there are any; a table is followed by an empty line.
fn print_section<R>(json: bool, rows: &[R])
where
    R: Row,
{
    if rows.is_empty() {
        return;
    }
    table::print(json, rows);
    if !json {
        println!();
    }
}

impl Row for SelfRow {
    const HEADERS: &'static [&'static str] = &["ANSWERED BY", "REVISION", "TAKES WORK"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.daemon.clone(),
            self.revision.to_string(),
            self.fresh.to_string(),
        ]
    }
}

impl Row for GroupRow {
    const HEADERS: &'static [&'static str] = &[
        "GROUP", "MODEL", "VERSION", "DOMAIN", "EPOCH", "STATE", "HOSTS", "TROUBLE",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.group.clone(),
            self.model.clone(),
            self.version.clone(),
            self.domain.clone(),
            self.epoch.to_string(),
            self.state.clone(),
            self.hosts.join(","),
            self.trouble.clone(),
        ]
    }
}

impl Row for DaemonRow {
    const HEADERS: &'static [&'static str] = &["DAEMON", "STATE", "REVISION"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.daemon.clone(),
            self.state.clone(),
            self.revision.to_string(),
        ]
    }
}

impl Row for DomainRow {
    const HEADERS: &'static [&'static str] = &["DOMAIN", "HOLDER", "SPARE", "LOST", "STRANDED"];

    fn cells(&self) -> Vec<String> {
        vec![
            self.domain.clone(),
            self.holder.clone(),
            self.spare.join(","),
            self.lost.join(","),
            self.stranded.to_string(),
        ]
    }
}

impl Row for UpgradeRow {
    const HEADERS: &'static [&'static str] = &[
        "UPGRADE", "MODEL", "FROM", "TO", "STATE", "UPGRADED", "GROUPS",
    ];

    fn cells(&self) -> Vec<String> {
        vec![
            self.upgrade.clone(),
            self.model.clone(),
            self.from.clone(),
            self.to.clone(),
            self.state.clone(),
            self.upgraded.to_string(),
            self.groups.to_string(),
        ]
    }
}

impl From<GroupStatus> for GroupRow {
    fn from(status: GroupStatus) -> Self {
        Self {
            kind: "group",
            group: status.group,
            model: status.model,
            version: status.version,
            domain: status.domain,
            epoch: status.epoch,
            state: status.state,
            hosts: status.hosts,
            trouble: status.trouble,
        }
    }
}

impl From<DaemonStatus> for DaemonRow {
    fn from(status: DaemonStatus) -> Self {
        Self {
            kind: "daemon",
            daemon: status.daemon,
            state: status.state,
            revision: status.revision,
        }
    }
}

impl From<DomainStatus> for DomainRow {
    fn from(status: DomainStatus) -> Self {
        Self {
            kind: "domain",
            domain: status.domain,
            holder: status.holder,
            spare: status.spare,
            lost: status.lost,
            stranded: status.stranded,
        }
    }
}

impl From<UpgradeStatus> for UpgradeRow {
    fn from(status: UpgradeStatus) -> Self {
        Self {
            kind: "upgrade",
            upgrade: status.upgrade,
            model: status.model,
            from: status.from,
            to: status.to,
            state: status.state,
            upgraded: status.upgraded,
            groups: status.groups,
        }
    }
}
