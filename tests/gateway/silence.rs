//! Connections whose silence is noticed.

use compio::net::{TcpListener, TcpStream};
use hickoryledge::shell::http;
use socket2::SockRef;
use std::time::Duration;

/// Time after which a daemon whose connections have fallen silent counts as caught up.
const STABLE_TIME: Duration = Duration::from_secs(3);

// A watch on a silent connection was noticed only by its own timeout of five seconds.
#[test]
fn silence_of_an_idle_connection_is_noticed_in_time() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let address = listener.local_addr().expect("bound");
        let stream = TcpStream::connect(address).await.expect("connected");
        http::detect_silence(&stream).expect("set");
        let socket = SockRef::from(&stream);
        let idle = socket.tcp_keepalive_time().expect("read");
        let interval = socket.tcp_keepalive_interval().expect("read");
        let limit = socket.tcp_user_timeout().expect("read").expect("a limit");
        // The limit is looked at when a probe is due.
        let noticed = idle.max(limit) + interval;
        assert!(noticed < STABLE_TIME, "{noticed:?}");
    });
}
