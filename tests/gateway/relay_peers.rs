//! Choice of the peer to which a daemon that reaches no runner passes requests.

use hickoryledge::{
    core::{
        keys::DaemonName,
        time::{Span, Time},
    },
    gateway::{
        peer_relay::choice::RelayPeers,
        peers::{DaemonEntry, Peers},
    },
};
use rand::{SeedableRng as _, rngs::SmallRng};
use std::{collections::BTreeMap, net::SocketAddr};

const AT: Time = Time(10_000_000);

fn name(number: usize) -> DaemonName {
    DaemonName::from(format!("d{number:03}"))
}

fn fleet(daemons: usize) -> Peers {
    let mut peers = Peers::default();
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    for number in 0..daemons {
        let entry = DaemonEntry {
            caller: address(1),
            hall: "hall".into(),
            peer: None,
            relay: Some(address(1_000 + number as u16)),
            processor_percent: 25,
        };
        peers.put(name(number), entry);
    }
    peers
}

#[test]
fn neither_own_name_nor_failed_peer_is_chosen() {
    let (peers, mut relays) = (fleet(3), RelayPeers::default());
    let mut rng = SmallRng::seed_from_u64(1);
    relays.failed(name(1), AT);
    for _ in 0..50 {
        let chosen = relays.choose(&peers, &name(0), AT, &mut rng);
        assert_eq!(chosen.expect("a peer").name, name(2));
    }
    relays.failed(name(2), AT);
    assert_eq!(relays.choose(&peers, &name(0), AT, &mut rng), None);
    let later = AT + Span::from_secs(1);
    assert!(relays.choose(&peers, &name(0), later, &mut rng).is_some());
}

/// Most of a hall is cut off, and each of its daemons passes all its requests on.
#[test]
fn requests_of_many_cut_off_daemons_are_spread_over_their_peers() {
    for seed in 0..16 {
        let peers = fleet(40);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut taken: BTreeMap<DaemonName, u32> = BTreeMap::new();
        for cut_off in 0..20 {
            let mut relays = RelayPeers::default();
            (0..20).for_each(|number| relays.failed(name(number), AT));
            for _ in 0..30 {
                let peer = relays.choose(&peers, &name(cut_off), AT, &mut rng);
                let peer = peer.expect("a peer").name;
                relays.started(&peer);
                *taken.entry(peer).or_default() += 1;
            }
        }
        // 600 requests at 20 peers.
        let most = taken.values().max().copied().unwrap_or_default();
        assert!(most <= 45, "seed {seed}: {most} requests at one peer");
    }
}
