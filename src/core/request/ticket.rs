//! Tickets: which daemon's run may start a non-idempotent request.
//!
//! A ticket is drawn by the daemon that it names and can be checked by that
//! daemon's same run alone, because the proof is keyed with its secret.

use super::super::{
    ctx::{Ctx, Identity},
    input::Ticket,
    keys::AccountName,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Draws a ticket for one non-idempotent request of an account.
pub fn issue(ctx: &mut Ctx, account: &AccountName) -> Ticket {
    let number = ctx.draw();
    Ticket {
        daemon: ctx.me.name.clone(),
        incarnation: ctx.me.incarnation,
        number,
        proof: proof(ctx.me.secret, account, number),
    }
}

/// Whether this run of this daemon drew the ticket for the account.
pub fn verify(me: &Identity, account: &AccountName, ticket: &Ticket) -> bool {
    ticket.daemon == me.name
        && ticket.incarnation == me.incarnation
        && ticket.proof == proof(me.secret, account, ticket.number)
}

fn proof(secret: u64, account: &AccountName, number: u64) -> u64 {
    let mut bytes = number.to_le_bytes().to_vec();
    bytes.extend_from_slice(account.as_str().as_bytes());
    xxh3_64_with_seed(&bytes, secret)
}
