//! Writes of records to the platform's store.

use super::super::{
    config::Key,
    ctx::Ctx,
    keys::{LeaseId, Owner, PlatformId},
    output::{Expect, PlatformCall},
};
use serde::Serialize;

/// Writes a record if its key is as expected; returns `None` if the record can't be serialized.
pub(super) fn put<T>(
    ctx: &mut Ctx,
    key: &Key,
    record: &T,
    expect: Expect,
    lease: Option<LeaseId>,
) -> Option<PlatformId>
where
    T: Serialize,
{
    let value = serde_json::to_string(record).ok()?;
    let put = PlatformCall::Put {
        key: key.path(),
        value,
        expect,
        lease,
    };
    Some(ctx.call_platform(Owner::Group, put))
}
