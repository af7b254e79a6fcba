//! Rejection of operators' requests that are invalid or can't be met.

use crate::{
    cluster::{Cluster, model, spec},
    placement::two_groups,
};
use hickoryledge::core::{
    config::record::Upgrade,
    input::{OperatorRequest, OrderChecks},
    options::Options,
    time::Span,
};

fn check(cluster: &Cluster, request: &OperatorRequest) -> Result<(), String> {
    let core = &cluster.daemons[0].core;
    core.groups()
        .check(core.config().view(), core.hosts(), request)
}

#[test]
fn rejects_group_without_enough_hosts() {
    let mut cluster = two_groups(1, 7, &Options::default());
    cluster.set_leaving("h6", true);
    cluster.run_for(Span::from_secs(1));
    assert_eq!(
        check(
            &cluster,
            &OperatorRequest::CreateGroup(spec("c", "m", "rack"))
        ),
        Ok(())
    );
    cluster.put_model(&model("big", 4, 0));
    cluster.run_for(Span::from_secs(1));
    let reason = check(
        &cluster,
        &OperatorRequest::CreateGroup(spec("d", "big", "rack")),
    )
    .expect_err("there is no room");
    for expected in [
        "needs 4 hosts in domain rack",
        "6 are up",
        "2 missing",
        "h6 is leaving",
    ] {
        assert!(reason.contains(expected), "{expected}: {reason}");
    }
}

#[test]
fn rejects_invalid_requests() {
    let cluster = two_groups(1, 4, &Options::default());
    let upgrade = Upgrade {
        name: "night".into(),
        model: "m".into(),
        to: "v2".into(),
        ..Upgrade::default()
    };
    assert_eq!(
        check(&cluster, &OperatorRequest::StartUpgrade(upgrade.clone())),
        Ok(())
    );
    let rejected = [
        OperatorRequest::CreateGroup(spec("c", "unknown", "rack")),
        OperatorRequest::CreateGroup(spec("c", "m", "nowhere")),
        OperatorRequest::DeleteModel("m".into()),
        OperatorRequest::PutModel(model("m", 0, 0)),
        OperatorRequest::StartUpgrade(Upgrade {
            width: 0,
            ..upgrade.clone()
        }),
        OperatorRequest::StartUpgrade(Upgrade {
            model: "unknown".into(),
            ..upgrade
        }),
    ];
    for request in rejected {
        assert!(check(&cluster, &request).is_err(), "{request:?}");
    }
}

#[test]
fn daemons_reject_with_the_same_reason() {
    let mut cluster = Cluster::new(2, &Options::default());
    cluster.add_hosts("rack", "h", 2, OrderChecks::Fenced);
    cluster.put_model(&model("m", 3, 0));
    cluster.run_for(Span::from_secs(2));
    let request = OperatorRequest::CreateGroup(spec("a", "m", "rack"));
    let answers = cluster.daemons.iter().map(|daemon| {
        let core = &daemon.core;
        core.groups()
            .check(core.config().view(), core.hosts(), &request)
    });
    let answers: Vec<_> = answers.collect();
    assert!(answers[0].is_err());
    assert_eq!(answers[0], answers[1]);
}
