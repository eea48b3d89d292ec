//! Connections that others open.

use crate::{
    opening::listen,
    refusal::Refusal,
    session::carry,
    shared::{
        Phase,
        Shared, //
    }, //
};
use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::{
    net::{
        TcpListener,
        TcpStream, //
    },
    sync::{
        OwnedSemaphorePermit,
        Semaphore, //
    },
    time::sleep, //
};

/// Wait after a failed accept, as when the process is out of descriptors; without it the loop
/// would spin on the control thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts until the mesh closes.
pub(crate) async fn accept(shared: Rc<Shared>, listener: TcpListener) {
    let places = Arc::new(Semaphore::new(shared.options.max_handshakes));
    loop {
        let accepted = tokio::select! {
            () = shared.reached(Phase::Closing) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, addr)) => begin(&shared, &places, stream, addr),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Begins a handshake if there is a place for it.
fn begin(shared: &Rc<Shared>, places: &Arc<Semaphore>, stream: TcpStream, addr: SocketAddr) {
    match places.clone().try_acquire_owned() {
        Ok(place) => shared.spawn(welcome(shared.clone(), stream, addr, place)),
        Err(_) => shared.refuse(addr, Refusal::Busy),
    }
}

/// Handshake and session of one connection.
async fn welcome(
    shared: Rc<Shared>,
    stream: TcpStream,
    addr: SocketAddr,
    place: OwnedSemaphorePermit,
) {
    let result = listen(&shared, stream).await;
    drop(place);
    match result {
        Ok(opened) => {
            carry(&shared, opened).await;
        }
        Err(why) => shared.refuse(addr, why),
    }
}
