//! Which daemons callers are sent to.

use super::{
    SECOND,
    net::{Net, peer},
    started,
};
use hickoryledge::core::{
    config::record::Daemon,
    input::{CallInput, Input, PeerInput},
    keys::{CallId, DaemonName, Incarnation, KeyHash},
    member::{Delta, MemberMessage, Standing},
    message::Message,
    options::Options,
    output::{CallOutput, Ending, Output, Refusal},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
};

/// The key of an account's callers.
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

/// What a daemon answers an account's caller.
fn ask(net: &mut Net, index: usize, account: usize) -> Result<Vec<DaemonName>, Refusal> {
    net.daemons[index].out.clear();
    let input = CallInput::Entries {
        call: CallId(1),
        credential: key(account),
        model: None,
    };
    net.step(index, Input::Call(input));
    let out = std::mem::take(&mut net.daemons[index].out);
    let answers = out.into_iter().filter_map(|output| match output {
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

/// Every account's daemons, as one daemon tells.
fn chosen(net: &mut Net, accounts: usize) -> Vec<BTreeSet<DaemonName>> {
    let ask = |account| {
        ask(net, 0, account)
            .expect("an answer")
            .into_iter()
            .collect()
    };
    (0..accounts).map(ask).collect()
}

/// One daemon that has been told of `count - 1` others.
fn told_of(count: usize) -> Net {
    let mut net = Net::new(1, 1, Options::default());
    net.start();
    let deltas = (1..count).map(|index| news(index, Standing::Alive));
    tell(&mut net, deltas.collect());
    net
}

fn news(index: usize, standing: Standing) -> Delta {
    Delta {
        daemon: Daemon {
            name: format!("d{index:03}").into(),
            incarnation: Incarnation(1),
            caller: SocketAddr::from((Ipv4Addr::LOCALHOST, 20_000 + index as u16)),
            peer: peer(index),
            ..Daemon::default()
        },
        refutation: 0,
        standing,
    }
}

fn tell(net: &mut Net, deltas: Vec<Delta>) {
    let input = PeerInput::Received {
        from: "teller".into(),
        incarnation: Incarnation(1),
        address: peer(999),
        message: Message::Member(MemberMessage::Table(deltas)),
    };
    net.step(0, Input::Peer(input));
}

/// How many accounts each daemon gets, and how many move when one daemon goes.
#[test]
fn accounts_spread_evenly_and_few_move() {
    let accounts = 1_000;
    for (count, most) in [(8, 1.15), (40, 1.4), (340, 2.5)] {
        let mut net = told_of(count);
        put_accounts(&mut net, accounts);
        let before = chosen(&mut net, accounts);
        let mut shares: BTreeMap<&DaemonName, usize> = BTreeMap::new();
        for daemon in before.iter().flatten() {
            *shares.entry(daemon).or_default() += 1;
        }
        let mean = 3.0 * accounts as f64 / count as f64;
        let max = shares.values().copied().max().unwrap_or(0) as f64 / mean;
        let gone: DaemonName = "d003".into();
        tell(&mut net, vec![news(3, Standing::Dead)]);
        let after = chosen(&mut net, accounts);
        let mut moved = 0;
        for (before, after) in before.iter().zip(&after) {
            assert!(!after.contains(&gone));
            let lost: Vec<_> = before.difference(after).collect();
            assert!(
                lost.is_empty() || lost == [&gone],
                "others keep the account"
            );
            moved += lost.len();
        }
        let share = moved as f64 / accounts as f64;
        println!("{count} daemons: most {max:.2} of the mean, {share:.4} of accounts move");
        assert!(shares.len() == count && max < most, "{count}: {max}");
    }
}

#[test]
fn every_daemon_names_the_same_few() {
    let mut net = started(8, 1, Options::default());
    put_accounts(&mut net, 20);
    for account in 0..20 {
        let named = |index| -> BTreeSet<DaemonName> {
            ask(&mut net, index, account)
                .expect("an answer")
                .into_iter()
                .collect()
        };
        let named: BTreeSet<_> = (0..8).map(named).collect();
        assert_eq!(named.len(), 1, "account {account}");
        assert!(named.iter().all(|few| few.len() == 3));
    }
}

#[test]
fn a_stranger_is_refused() {
    let mut net = started(2, 1, Options::default());
    assert_eq!(ask(&mut net, 0, 5), Err(Refusal::Unauthorized));
}

#[test]
fn dead_and_leaving_daemons_are_not_named_after_a_few_seconds() {
    let mut net = started(8, 2, Options::default());
    put_accounts(&mut net, 30);
    net.kill(3);
    net.step(5, Input::Stop);
    net.run(SECOND.times(6));
    for account in 0..30 {
        for index in [0, 1, 2, 4, 5, 6, 7] {
            let named = ask(&mut net, index, account).expect("an answer");
            let gone = ["d003".into(), "d005".into()];
            assert!(named.iter().all(|daemon| !gone.contains(daemon)));
        }
    }
}

/// A daemon that hears nobody leaves its own answer, and has then nobody to name.
#[test]
fn a_daemon_that_is_not_fresh_names_no_entry_of_its_own() {
    let mut net = started(8, 3, Options::default());
    put_accounts(&mut net, 30);
    net.platform(false);
    net.split(1, true);
    net.run(SECOND.times(6));
    for account in 0..30 {
        match ask(&mut net, 0, account) {
            Ok(named) => assert!(!named.contains(&"d000".into())),
            Err(reason) => assert_eq!(reason, Refusal::Stale),
        }
    }
}
