//! A stand-in platform in a thread of this process.

use standin::platform::{
    self,
    ListContent, //
};
use std::{
    net::{
        SocketAddr,
        TcpListener, //
    },
    thread,
};

/// Starts the stand-in; it ends with the test's process.
pub(crate) fn platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("a bound port");
    thread::spawn(move || {
        let served = actix_rt::System::new()
            .block_on(async move { platform::serve_with(listener, ListContent::default())?.await });
        served.expect("the stand-in runs");
    });
    addr
}
