//! Selection of the daemons that callers are directed to.

use super::{
    SECOND,
    net::{Net, peer},
    started,
};
use hickoryledge::core::{
    config::record::Daemon,
    input::{CallInput, Input, PeerInput},
    keys::{CallId, DaemonName, Incarnation, KeyHash},
    member::{MemberMessage, MemberStatus, MemberUpdate},
    message::Message,
    options::Options,
    output::{CallOutput, Ending, Output, Refusal},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
};

/// Returns the key of an account's callers.
fn key(account: usize) -> KeyHash {
    let mut key = [0; 32];
    key[..8].copy_from_slice(&(account as u64 + 1).to_le_bytes());
    KeyHash(key)
}

fn put_accounts(net: &mut Net, count: usize) {
    for account in 0..count {
        let path = format!("/hickoryledge/config/account/a{account}");
        let record = serde_json::json!({ "name": format!("a{account}"), "key": key(account) });
        net.kv.store.put(&path, &record.to_string(), None, None);
    }
    net.run(SECOND);
}

/// Requests the entries of an account from a daemon.
fn request_entries(
    net: &mut Net,
    index: usize,
    account: usize,
) -> Result<Vec<DaemonName>, Refusal> {
    net.daemons[index].outputs.clear();
    let input = CallInput::Entries {
        call: CallId(1),
        credential: key(account),
        model: None,
    };
    net.step(index, Input::Call(input));
    let outputs = std::mem::take(&mut net.daemons[index].outputs);
    let answers = outputs.into_iter().filter_map(|output| match output {
        Output::Call(CallOutput::Entries { entries, .. }) => {
            Some(Ok(entries.into_iter().map(|e| e.daemon).collect()))
        }
        Output::Call(CallOutput::End {
            ending: Ending::Refused { reason, .. },
            ..
        }) => Some(Err(reason)),
        _ => None,
    });
    let answers: Vec<_> = answers.collect();
    let [answer] = answers.try_into().expect("one answer");
    answer
}

/// Returns the daemons of every account, as the first daemon selects them.
fn all_entries(net: &mut Net, accounts: usize) -> Vec<BTreeSet<DaemonName>> {
    let request_entries = |account| {
        request_entries(net, 0, account)
            .expect("an answer")
            .into_iter()
            .collect()
    };
    (0..accounts).map(request_entries).collect()
}

/// Starts one daemon and sends it a table of `count - 1` others.
fn with_members(count: usize) -> Net {
    let mut net = Net::new(1, 1, Options::default());
    net.start();
    let updates = (1..count).map(|index| member_update(index, MemberStatus::Alive));
    send_table(&mut net, updates.collect());
    net
}

fn member_update(index: usize, status: MemberStatus) -> MemberUpdate {
    MemberUpdate {
        daemon: Daemon {
            name: format!("d{index:03}").into(),
            incarnation: Incarnation(1),
            caller: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + index as u16)),
            peer: peer(index),
            ..Daemon::default()
        },
        refutation: 0,
        status,
    }
}

fn send_table(net: &mut Net, updates: Vec<MemberUpdate>) {
    let input = PeerInput::Received {
        from: "teller".into(),
        incarnation: Incarnation(1),
        address: peer(999),
        message: Message::Member(MemberMessage::Table(updates)),
    };
    net.step(0, Input::Peer(input));
}

/// Bounds the share of accounts that one daemon gets, and checks that only the accounts of a dead
/// daemon move.
#[test]
fn spreads_accounts_evenly_and_moves_few() {
    let accounts = 1_000;
    for (count, max_share) in [(8, 1.15), (40, 1.4), (340, 2.5)] {
        let mut net = with_members(count);
        put_accounts(&mut net, accounts);
        let before = all_entries(&mut net, accounts);
        let mut shares: BTreeMap<&DaemonName, usize> = BTreeMap::new();
        for daemon in before.iter().flatten() {
            *shares.entry(daemon).or_default() += 1;
        }
        let mean = 3.0 * accounts as f64 / count as f64;
        let max = shares.values().copied().max().unwrap_or(0) as f64 / mean;
        let gone: DaemonName = "d003".into();
        send_table(&mut net, vec![member_update(3, MemberStatus::Dead)]);
        let after = all_entries(&mut net, accounts);
        let mut moved = 0;
        for (before, after) in before.iter().zip(&after) {
            assert!(!after.contains(&gone));
            let lost: Vec<_> = before.difference(after).collect();
            assert!(
                lost.is_empty() || lost == [&gone],
                "the other daemons keep the account"
            );
            moved += lost.len();
        }
        let share = moved as f64 / accounts as f64;
        println!("{count} daemons: at most {max:.2} times the mean, {share:.4} of accounts move");
        assert!(shares.len() == count && max < max_share, "{count}: {max}");
    }
}

#[test]
fn all_daemons_select_the_same_entries() {
    let mut net = started(8, 1, Options::default());
    put_accounts(&mut net, 20);
    for account in 0..20 {
        let selected = |index| -> BTreeSet<DaemonName> {
            request_entries(&mut net, index, account)
                .expect("an answer")
                .into_iter()
                .collect()
        };
        let selected: BTreeSet<_> = (0..8).map(selected).collect();
        assert_eq!(selected.len(), 1, "account {account}");
        assert!(selected.iter().all(|entries| entries.len() == 3));
    }
}

#[test]
fn rejects_unknown_credential() {
    let mut net = started(2, 1, Options::default());
    assert_eq!(request_entries(&mut net, 0, 5), Err(Refusal::Unauthorized));
}

#[test]
fn omits_dead_and_leaving_daemons_within_seconds() {
    let mut net = started(8, 2, Options::default());
    put_accounts(&mut net, 30);
    net.kill(3);
    net.step(5, Input::Stop);
    net.run(SECOND.times(6));
    for account in 0..30 {
        for index in [0, 1, 2, 4, 5, 6, 7] {
            let selected = request_entries(&mut net, index, account).expect("an answer");
            let gone = ["d003".into(), "d005".into()];
            assert!(selected.iter().all(|daemon| !gone.contains(daemon)));
        }
    }
}

/// A daemon that reaches nobody omits itself, and later has no daemon left to direct callers to.
#[test]
fn stale_daemon_omits_itself() {
    let mut net = started(8, 3, Options::default());
    put_accounts(&mut net, 30);
    net.set_platform(false);
    net.split(1, true);
    net.run(SECOND.times(6));
    for account in 0..30 {
        match request_entries(&mut net, 0, account) {
            Ok(selected) => assert!(!selected.contains(&"d000".into())),
            Err(reason) => assert_eq!(reason, Refusal::Stale),
        }
    }
}
