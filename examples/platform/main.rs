//! Simulated platform: the key-value store and the list of hosts.
//!
//! Prints `{"listening":{"kv":ADDRESS,"hosts":ADDRESS}}` and serves until it
//! is killed. The hosts port serves:
//!
//! - `GET /hosts`; `PUT /hosts` sets the whole list; `POST /hosts/NAME`
//!   changes fields of one host; `DELETE /hosts/NAME` removes one. `GET` shows
//!   changes only after the delay set by `POST /lag {"ms":N}`.
//! - `POST /fault {"mode","for_ms","by_ms"}`: `ok`, `hang` (no responses),
//!   `refuse` (an error at once), `lose_answers` (writes take effect, but
//!   get no response), `slow` (responses are delayed by `by_ms`). `hang` silences
//!   watches, and `refuse` ends them. Without `for_ms` the fault lasts until the
//!   next one.
//! - `POST /compact` compacts the history; `POST /break` ends all watches.
//! - `GET /calls` returns the number of calls by kind, the number of open
//!   watches, and the store's revision.

mod hosts;
mod kv;
mod state;
#[path = "../../tests/fakes/store.rs"]
#[allow(dead_code)]
mod store;

use argh::FromArgs;
use compio::net::TcpListener;
use hickoryledge::shell::http;
use hyper::service::service_fn;
use state::State;
use std::{net::SocketAddr, rc::Rc};

/// Simulates the platform.
#[derive(FromArgs)]
struct Args {
    /// address of the key-value service
    #[argh(option, default = "ANY_PORT")]
    kv: SocketAddr,
    /// address of the list of hosts
    #[argh(option, default = "ANY_PORT")]
    hosts: SocketAddr,
}

/// Any free port on the loopback address.
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

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
    let state = Rc::new(State::new());
    compio::runtime::spawn(state::expire_leases(state.clone())).detach();
    compio::runtime::spawn(serve_kv(kv, state.clone())).detach();
    serve_hosts(hosts, state).await
}

/// Serves the key-value store.
async fn serve_kv(listener: TcpListener, state: Rc<State>) {
    let services = kv::Services::new(state);
    while let Ok((stream, _)) = listener.accept().await {
        let services = services.clone();
        let service = service_fn(move |request| services.clone().serve(request));
        compio::runtime::spawn(http::serve_http2(stream, service)).detach();
    }
}

/// Serves the list of hosts and the control requests.
async fn serve_hosts(listener: TcpListener, state: Rc<State>) -> anyhow::Result<()> {
    loop {
        let (stream, _) = listener.accept().await?;
        let state = state.clone();
        let service = service_fn(move |request| hosts::serve(state.clone(), request));
        compio::runtime::spawn(http::serve_http1(stream, service)).detach();
    }
}
