//! The ports of the traffic thread.

use crate::traffic::{
    lookup::Pages,
    Shared,
    Traffic, //
};
use event::{
    emit,
    Event, //
};
use relay::{
    serve,
    Handler, //
};
use std::{
    io,
    net::TcpListener,
    rc::Rc,
    sync::{
        atomic::Ordering,
        Arc, //
    },
    time::Duration, //
};
use tokio::net::TcpListener as Listener;

/// Pause after a failed accept, such as one for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Time between two tellings of the requests in flight to control.
const LOADS_INTERVAL: Duration = Duration::from_millis(100);

/// Bound ports, to be served.
pub(crate) struct Ports {
    pub(crate) callers: TcpListener,
    /// Look-ups, readiness and metrics.
    pub(crate) pages: Vec<TcpListener>,
}

/// Serves the ports for as long as the process; to be called on the traffic thread.
pub(crate) fn open(ports: Ports, shared: Arc<Shared>) -> io::Result<()> {
    let traffic = Rc::new(Traffic::new(shared));
    for listener in ports.pages {
        let pages = Rc::new(Pages(traffic.clone()));
        actix_rt::spawn(accept(listener_of(listener)?, pages, traffic.clone()));
    }
    actix_rt::spawn(send_loads(traffic.clone()));
    let callers = listener_of(ports.callers)?;
    actix_rt::spawn(accept(callers, traffic.clone(), traffic));
    Ok(())
}

fn listener_of(listener: TcpListener) -> io::Result<Listener> {
    listener.set_nonblocking(true)?;
    Listener::from_std(listener)
}

/// Tells control the requests in flight, more often than control passes them on.
async fn send_loads(traffic: Rc<Traffic>) {
    loop {
        tokio::time::sleep(LOADS_INTERVAL).await;
        let own = traffic.fleet.borrow().loads();
        let shared = &traffic.shared.channels.loads;
        shared.own.store(Arc::new(own));
        let mut fleet = traffic.fleet.borrow_mut();
        shared.warmed.put(fleet.take_warmed());
        if shared.all_wanted.swap(false, Ordering::Relaxed) {
            shared.all_warm.put(fleet.all_warm());
        }
    }
}

async fn accept<H: Handler>(listener: Listener, handler: Rc<H>, traffic: Rc<Traffic>) {
    let most = traffic.shared.settings.max_callers();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                emit(&Event::AcceptFailed {
                    error: error.to_string(),
                });
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if traffic.callers.get() >= most {
            if traffic.log.take(true, traffic.now()) {
                emit(&Event::CallerTurnedAway { most });
            }
            continue;
        }
        let handler = handler.clone();
        let traffic = traffic.clone();
        traffic.callers.set(traffic.callers.get() + 1);
        actix_rt::spawn(async move {
            serve(stream, handler).await;
            traffic.callers.set(traffic.callers.get() - 1);
        });
    }
}
