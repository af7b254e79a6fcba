//! Stop of a daemon while it reads a request.

mod common;

use common::{KEY, TestEnv, WAIT_TIMEOUT, wait_for};
use nix::sys::signal::Signal;
use std::{
    io::{Read as _, Write as _},
    net::TcpStream,
};

/// Reads until the text ends with an empty line.
fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && stream.read(&mut byte).expect("read") > 0 {
        head.push(byte[0]);
    }
    String::from_utf8_lossy(&head).into_owned()
}

/// No call is open while its body is read, so nothing else keeps the daemon from exiting.
#[test]
fn request_whose_body_crosses_the_stop_is_answered() {
    let mut env = TestEnv::new();
    env.start_daemon("entry-0");
    let daemon = &env.daemons[0];
    let mut stream = TcpStream::connect(daemon.caller).expect("connected");
    stream
        .set_read_timeout(Some(WAIT_TIMEOUT))
        .expect("configured");
    let body = r#"{"model": "drafting-llm", "prompt": "notice", "max_tokens": 3}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {}\r\nExpect: 100-continue\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let interim = read_head(&mut stream);
    assert!(interim.starts_with("HTTP/1.1 100"), "{interim}");
    daemon.process.signal(Signal::SIGTERM);
    wait_for("the listener to close", || {
        TcpStream::connect(daemon.caller).is_err().then_some(())
    });
    stream.write_all(body.as_bytes()).expect("sent");
    let response = read_head(&mut stream);
    assert!(
        response.starts_with("HTTP/1.1 "),
        "no response: {response:?}"
    );
}
