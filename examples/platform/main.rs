//! Stands in for the platform: the key-value service and the list of hosts.
//!
//! Prints `{"listening":{"kv":ADDRESS,"hosts":ADDRESS}}` and serves until it
//! is killed. The hosts port answers:
//!
//! - `GET /hosts`; `PUT /hosts` sets the whole list; `POST /hosts/NAME`
//!   changes fields of one host; `DELETE /hosts/NAME` removes one. Changes are
//!   seen by `GET` only after the lag set by `POST /lag {"ms":N}`.
//! - `POST /fault {"mode","for_ms","by_ms"}`: `ok`, `hang` (no answers),
//!   `refuse` (errors at once), `lose_answers` (writes take effect, their
//!   answers never come), `slow` (answers come `by_ms` later). Watches are
//!   silent in the first two. Without `for_ms` the fault stays.
//! - `POST /compact` forgets the history; `POST /break` ends all watches.
//! - `GET /calls`: counts of calls by kind, and of waiting watches.

mod hosts;
mod kv;
#[path = "../../tests/fakes/store.rs"]
#[allow(dead_code)]
mod store;
mod world;

use argh::FromArgs;
use compio::net::TcpListener;
use hickoryledge::shell::http;
use hyper::service::service_fn;
use std::{net::SocketAddr, rc::Rc};
use world::World;

/// Stand-in for the platform.
#[derive(FromArgs)]
struct Args {
    /// address of the key-value service
    #[argh(option, default = "ANY")]
    kv: SocketAddr,
    /// address of the list of hosts
    #[argh(option, default = "ANY")]
    hosts: SocketAddr,
}

/// Any free port of this machine.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[compio::main]
async fn main() -> anyhow::Result<()> {
    let args: Args = argh::from_env();
    let kv = http::bind(args.kv).await?;
    let hosts = http::bind(args.hosts).await?;
    let listening = serde_json::json!({"listening": {
        "kv": http::address(&kv)?.to_string(),
        "hosts": http::address(&hosts)?.to_string(),
    }});
    println!("{listening}");
    let world = Rc::new(World::new());
    compio::runtime::spawn(world::expire_leases(world.clone())).detach();
    compio::runtime::spawn(serve_kv(kv, world.clone())).detach();
    serve_hosts(hosts, world).await
}

async fn serve_kv(listener: TcpListener, world: Rc<World>) {
    let services = kv::Services::new(world);
    while let Ok((stream, _)) = listener.accept().await {
        let services = services.clone();
        let service = service_fn(move |request| services.clone().serve(request));
        compio::runtime::spawn(http::serve_http2(stream, service)).detach();
    }
}

async fn serve_hosts(listener: TcpListener, world: Rc<World>) -> anyhow::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let world = world.clone();
        let service = service_fn(move |request| hosts::serve(world.clone(), request));
        compio::runtime::spawn(http::serve_http1(stream, service)).detach();
    }
}
