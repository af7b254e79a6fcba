//! The handlers of the operators' gRPC service, one per method.

use super::{Pending, convert};
use crate::{
    core::{
        input::OperatorRequest,
        keys::{OperationId, Revision},
        output::OperatorAnswer,
    },
    report::Monitor,
    wire::operator::{
        BurnReply, BurnRequest, Change, ChangeGroupRequest, CreateGroupRequest, DrainGroupRequest,
        NameRequest, PutAccountRequest, PutModelRequest, PutServiceRequest, StartUpgradeRequest,
        StatusReply, StatusRequest, SteerUpgradeRequest, operator_server::Operator,
    },
};
use std::sync::Arc;
use tonic::{Code, Request, Response, Status};

type Reply<T> = Result<Response<T>, Status>;

/// Handler of operators' calls.
pub(super) struct Handler {
    pending: Arc<Pending>,
    monitor: Arc<Monitor>,
}

impl Handler {
    pub(super) fn new(pending: Arc<Pending>, monitor: Arc<Monitor>) -> Self {
        Self { pending, monitor }
    }

    async fn change(&self, operation: u64, request: OperatorRequest) -> Reply<Change> {
        if operation == 0 {
            return Err(Status::invalid_argument("the operation number is missing"));
        }
        let answer = self.pending.submit(OperationId(operation), request).await?;
        match answer {
            OperatorAnswer::Accepted { revision } => Ok(Response::new(Change {
                revision: revision.0,
            })),
            answer => Err(error_status(answer)),
        }
    }
}

fn error_status(answer: OperatorAnswer) -> Status {
    match answer {
        OperatorAnswer::Conflict { revision } => conflict_status(revision),
        OperatorAnswer::Invalid(reason) => Status::new(Code::FailedPrecondition, reason),
        OperatorAnswer::Unavailable(reason) => Status::unavailable(reason),
        OperatorAnswer::Accepted { .. } | OperatorAnswer::Status(_) => {
            Status::internal("the answer is of another kind")
        }
    }
}

fn conflict_status(revision: Revision) -> Status {
    let reason = format!("another operator was first, at revision {}", revision.0);
    Status::new(Code::Aborted, reason)
}

#[tonic::async_trait]
impl Operator for Handler {
    async fn put_account(&self, request: Request<PutAccountRequest>) -> Reply<Change> {
        let PutAccountRequest { operation, account } = request.into_inner();
        let account = convert::account(account)?;
        self.change(operation, OperatorRequest::PutAccount(account))
            .await
    }

    async fn delete_account(&self, request: Request<NameRequest>) -> Reply<Change> {
        let NameRequest { operation, name } = request.into_inner();
        let name = convert::name(name, "name")?;
        self.change(operation, OperatorRequest::DeleteAccount(name.into()))
            .await
    }

    async fn put_model(&self, request: Request<PutModelRequest>) -> Reply<Change> {
        let PutModelRequest { operation, model } = request.into_inner();
        let model = convert::model(model)?;
        self.change(operation, OperatorRequest::PutModel(model))
            .await
    }

    async fn delete_model(&self, request: Request<NameRequest>) -> Reply<Change> {
        let NameRequest { operation, name } = request.into_inner();
        let name = convert::name(name, "name")?;
        self.change(operation, OperatorRequest::DeleteModel(name.into()))
            .await
    }

    async fn put_service(&self, request: Request<PutServiceRequest>) -> Reply<Change> {
        let PutServiceRequest { operation, service } = request.into_inner();
        let service = convert::service(service)?;
        self.change(operation, OperatorRequest::PutService(service))
            .await
    }

    async fn create_group(&self, request: Request<CreateGroupRequest>) -> Reply<Change> {
        let CreateGroupRequest { operation, group } = request.into_inner();
        let group = convert::group(group)?;
        self.change(operation, OperatorRequest::CreateGroup(group))
            .await
    }

    async fn change_group(&self, request: Request<ChangeGroupRequest>) -> Reply<Change> {
        let ChangeGroupRequest {
            operation,
            group,
            based_on,
        } = request.into_inner();
        let change = OperatorRequest::ChangeGroup {
            spec: convert::group(group)?,
            based_on: Revision(based_on),
        };
        self.change(operation, change).await
    }

    async fn drain_group(&self, request: Request<DrainGroupRequest>) -> Reply<Change> {
        let DrainGroupRequest {
            operation,
            name,
            drained,
        } = request.into_inner();
        let change = OperatorRequest::DrainGroup {
            group: convert::name(name, "name")?.into(),
            drained,
        };
        self.change(operation, change).await
    }

    async fn delete_group(&self, request: Request<NameRequest>) -> Reply<Change> {
        let NameRequest { operation, name } = request.into_inner();
        let name = convert::name(name, "name")?;
        self.change(operation, OperatorRequest::DeleteGroup(name.into()))
            .await
    }

    async fn start_upgrade(&self, request: Request<StartUpgradeRequest>) -> Reply<Change> {
        let StartUpgradeRequest { operation, upgrade } = request.into_inner();
        let upgrade = convert::upgrade(upgrade)?;
        self.change(operation, OperatorRequest::StartUpgrade(upgrade))
            .await
    }

    async fn steer_upgrade(&self, request: Request<SteerUpgradeRequest>) -> Reply<Change> {
        let steer = request.into_inner();
        let change = OperatorRequest::SteerUpgrade {
            action: convert::action(steer.action())?,
            upgrade: convert::name(steer.name, "name")?.into(),
        };
        self.change(steer.operation, change).await
    }

    async fn get_burn(&self, _request: Request<BurnRequest>) -> Reply<BurnReply> {
        let report = serde_json::to_string(&self.monitor.report())
            .map_err(|error| Status::internal(error.to_string()))?;
        Ok(Response::new(BurnReply { report }))
    }

    async fn get_status(&self, _request: Request<StatusRequest>) -> Reply<StatusReply> {
        let answer = self
            .pending
            .submit(OperationId::default(), OperatorRequest::Status);
        match answer.await? {
            OperatorAnswer::Status(status) => Ok(Response::new(convert::status(*status))),
            answer => Err(error_status(answer)),
        }
    }
}
