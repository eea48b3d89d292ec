//! Incoming connections.

use crate::{
    opening::accept_session,
    refusal::Refusal,
    session::run_session,
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

/// Delay after a failed accept, for example when the process is out of file descriptors; without
/// it the loop would spin on the control thread.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until the mesh closes.
pub(crate) async fn accept_loop(shared: Rc<Shared>, listener: TcpListener) {
    let handshake_slots = Arc::new(Semaphore::new(shared.options.max_handshakes));
    loop {
        let accepted = tokio::select! {
            () = shared.wait_for_phase(Phase::Closing) => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, addr)) => start_handshake(&shared, &handshake_slots, stream, addr),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Starts a handshake if the limit of concurrent handshakes allows it.
fn start_handshake(
    shared: &Rc<Shared>,
    handshake_slots: &Arc<Semaphore>,
    stream: TcpStream,
    addr: SocketAddr,
) {
    match handshake_slots.clone().try_acquire_owned() {
        Ok(slot) => shared.spawn(handle_connection(shared.clone(), stream, addr, slot)),
        Err(_) => shared.report_refused(addr, Refusal::Busy),
    }
}

/// Runs the handshake and the session of one connection.
async fn handle_connection(
    shared: Rc<Shared>,
    stream: TcpStream,
    addr: SocketAddr,
    slot: OwnedSemaphorePermit,
) {
    let result = accept_session(&shared, stream).await;
    drop(slot);
    match result {
        Ok(opened) => {
            run_session(&shared, opened).await;
        }
        Err(refusal) => shared.report_refused(addr, refusal),
    }
}
