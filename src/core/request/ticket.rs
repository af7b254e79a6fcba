//! Tickets for non-idempotent requests.
//!
//! A ticket names the daemon incarnation that issued it, the only one that may
//! start the request. Only that incarnation can verify the ticket, because the
//! proof is keyed with its secret.

use super::super::{
    ctx::{Ctx, Identity},
    input::Ticket,
    keys::AccountName,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Issues a ticket for one non-idempotent request of an account.
pub fn issue(ctx: &mut Ctx, account: &AccountName) -> Ticket {
    let number = ctx.next_id();
    Ticket {
        daemon: ctx.me.name.clone(),
        incarnation: ctx.me.incarnation,
        number,
        proof: proof(ctx.me.secret, account, number),
    }
}

/// Returns true if this incarnation of this daemon issued the ticket for the account.
pub fn verify(me: &Identity, account: &AccountName, ticket: &Ticket) -> bool {
    ticket.daemon == me.name
        && ticket.incarnation == me.incarnation
        && ticket.proof == proof(me.secret, account, ticket.number)
}

/// Returns the proof of a ticket, keyed with the secret of the issuing incarnation.
fn proof(secret: u64, account: &AccountName, number: u64) -> u64 {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.extend_from_slice(account.as_str().as_bytes());
    xxh3_64_with_seed(&bytes, secret)
}
