//! Accepts connections on the ports of the traffic thread.

use crate::{
    metric,
    traffic::{
        lookup::AuxiliaryHandler,
        path::watch_path,
        relayed::RelayHandler,
        SharedState,
        Traffic, //
    },
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
    cell::Cell,
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

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which requests in flight are published to the control thread.
const LOADS_INTERVAL: Duration = Duration::from_millis(100);

/// Bound listeners.
pub(crate) struct Ports {
    pub(crate) callers: TcpListener,
    /// Listeners for look-ups and readiness checks.
    pub(crate) auxiliary: Vec<TcpListener>,
    /// Listener for requests that other entries relay.
    pub(crate) relay: Option<TcpListener>,
    /// Listener for metrics and the use of quotas.
    pub(crate) metrics: TcpListener,
}

/// Spawns the tasks that serve the ports until the process exits. Must be called on the traffic thread.
pub(crate) fn spawn_servers(ports: Ports, shared: Arc<SharedState>) -> io::Result<()> {
    let traffic = Rc::new(Traffic::new(shared));
    let auxiliary = ports.auxiliary.into_iter();
    let auxiliary = auxiliary.map(|listener| (listener, false));
    for (listener, is_metrics_port) in auxiliary.chain([(ports.metrics, true)]) {
        let handler = Rc::new(AuxiliaryHandler {
            traffic: traffic.clone(),
            is_metrics_port,
            lookups: Cell::default(),
        });
        actix_rt::spawn(accept(
            to_tokio_listener(listener)?,
            handler,
            traffic.clone(),
        ));
    }
    if let Some(listener) = ports.relay {
        let handler = Rc::new(RelayHandler {
            traffic: traffic.clone(),
        });
        actix_rt::spawn(accept(
            to_tokio_listener(listener)?,
            handler,
            traffic.clone(),
        ));
    }
    actix_rt::spawn(publish_loads(traffic.clone()));
    actix_rt::spawn(watch_path(traffic.clone()));
    let callers = to_tokio_listener(ports.callers)?;
    actix_rt::spawn(accept(callers, traffic.clone(), traffic));
    Ok(())
}

fn to_tokio_listener(listener: TcpListener) -> io::Result<Listener> {
    listener.set_nonblocking(true)?;
    Listener::from_std(listener)
}

/// Publishes requests in flight, warm keys and the demand of organisations to the control thread, more often than it
/// forwards them.
async fn publish_loads(traffic: Rc<Traffic>) {
    loop {
        tokio::time::sleep(LOADS_INTERVAL).await;
        let own = traffic.fleet.borrow().loads();
        let shared = &traffic.shared.channels.loads;
        shared.own.store(Arc::new(own));
        let held_bytes = traffic.body_memory.budget().held_bytes();
        metrics::gauge!(metric::BODY_BYTES).set(held_bytes as f64);
        let demands = traffic.quotas.borrow_mut().demands(traffic.now());
        let quotas = &traffic.shared.channels.quotas;
        quotas.demands.store(Arc::new(demands));
        let mut fleet = traffic.fleet.borrow_mut();
        shared.own_warm_keys.put(fleet.take_unreported_warm_keys());
        if shared
            .all_warm_keys_requested
            .swap(false, Ordering::Relaxed)
        {
            shared.all_warm_keys.put(fleet.all_warm_keys());
        }
    }
}

async fn accept<H: Handler>(listener: Listener, handler: Rc<H>, traffic: Rc<Traffic>) {
    let max_connections = traffic.shared.settings.max_caller_connections();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                emit(&Event::AcceptFailed {
                    error: error.to_string(),
                });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if traffic.caller_connections.get() >= max_connections {
            if traffic.log_limiter.try_take(true, traffic.now()) {
                emit(&Event::CallerTurnedAway {
                    most: max_connections,
                });
            }
            continue;
        }
        let handler = handler.clone();
        let traffic = traffic.clone();
        traffic
            .caller_connections
            .set(traffic.caller_connections.get() + 1);
        actix_rt::spawn(async move {
            serve(stream, handler).await;
            traffic
                .caller_connections
                .set(traffic.caller_connections.get() - 1);
        });
    }
}
