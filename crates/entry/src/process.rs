//! Start of the process, its ports and threads, and the planned stop.

use crate::{
    channels::Channels,
    clock::{
        millis,
        Clock, //
    },
    control::Control,
    dialect::Dialect,
    rows::RowReader,
    settings::{
        Reload,
        Settings, //
    },
    snapshot::Snapshot,
    traffic::{
        spawn_servers,
        Ports,
        SharedState, //
    },
};
use actix_rt::{
    Arbiter,
    System, //
};
use arc_swap::ArcSwap;
use event::{
    emit,
    shutdown_log,
    Event, //
};
use eyre::{
    eyre,
    WrapErr, //
};
use metrics_exporter_prometheus::PrometheusHandle;
use plat::{
    Feed,
    Table, //
};
use std::{
    future::Future,
    net::{
        SocketAddr,
        TcpListener, //
    },
    rc::Rc,
    sync::{
        atomic::{
            AtomicBool,
            AtomicUsize,
            Ordering, //
        },
        Arc,
        OnceLock, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use tokio::{
    signal::unix::{
        signal,
        SignalKind, //
    },
    time::{
        sleep,
        sleep_until, //
    },
};

/// Reserve at the end of the grace period, since timers fire late on a busy machine.
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// Part of the grace period during which requests are still accepted, in percent. With a longer part, a request that
/// arrives just before its end would be cut off by the end of the process. By then the look-up responses of most
/// callers have expired; requests of the others are refused as not run, and these callers use another entry.
const SERVE_PCT: u32 = 50;
/// Part of the grace period in which requests are accepted whatever their deadline. Then callers have learned of the stop,
/// and only requests are accepted whose deadline passes within the grace period: others could be cut off by its end.
const ANY_DEADLINE_PERIOD: Duration = Duration::from_secs(3);
/// Minimum time between the last accepted request and the end of the process, so that refusals reach the callers.
const REFUSAL_PERIOD: Duration = Duration::from_millis(500);
/// Interval between checks whether all requests have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry until the planned stop, which begins when `stop_requested` resolves, has ended.
///
/// # Errors
///
/// A port can't be bound, or the process can't be set up.
pub fn run<S, W>(
    settings: Settings,
    dialect: Dialect,
    rows: W,
    metrics: PrometheusHandle,
    store: impl FnOnce() -> S,
    reload: Reload,
    stop_requested: impl Future<Output = eyre::Result<()>>,
) -> eyre::Result<()>
where
    S: Feed + Table + 'static,
    W: RowReader,
{
    let settings = Arc::new(settings);
    let ports = Ports {
        callers: bind(settings.callers_addr, "callers")?,
        auxiliary: vec![
            bind(settings.lookup_addr, "look-ups")?,
            bind(settings.ready_addr, "readiness")?,
        ],
        relay: match settings.relay_addr {
            Some(addr) => Some(bind(addr, "relayed requests")?),
            None => None,
        },
        metrics: bind(settings.metrics_addr, "metrics")?,
    };
    let initial = Snapshot {
        bounds: settings.bounds.clone(),
        ..Snapshot::default()
    };
    let published = Arc::new(ArcSwap::from_pointee(initial));
    let channels = Channels::default();
    let clock = Clock::start();
    let shared = Arc::new(SharedState {
        settings: settings.clone(),
        dialect,
        published: published.clone(),
        channels: channels.clone(),
        metrics,
        clock,
        active_requests: AtomicUsize::new(0),
        deadline_max: OnceLock::new(),
        closing: AtomicBool::new(false),
    });
    System::new().block_on(async move {
        emit(&Event::Started {
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            callers_addr: settings.callers_addr.to_string(),
        });
        let traffic = Arbiter::new();
        let traffic_shared = shared.clone();
        let spawned = traffic.spawn_fn(move || {
            if let Err(error) = spawn_servers(ports, traffic_shared) {
                emit(&Event::PortsNotServed {
                    error: error.to_string(),
                });
                System::current().stop_with_code(1);
            }
        });
        if !spawned {
            return Err(eyre!("the traffic thread has stopped before it was set up"));
        }
        actix_rt::spawn(run_metrics_upkeep(shared.metrics.clone()));
        let control = Control::new(settings.clone(), store(), rows, clock, published, channels);
        control.start();
        let hangups = signal(SignalKind::hangup()).wrap_err("handling SIGHUP")?;
        let settings_control = control.clone();
        actix_rt::spawn(async move { settings_control.follow_settings(reload, hangups).await });
        stop_requested.await?;
        stop(&control, &shared).await;
        traffic.stop();
        shutdown_log();
        Ok(())
    })
}

/// Runs the metrics recorder's upkeep periodically, which drains the samples that it buffers.
async fn run_metrics_upkeep(metrics: PrometheusHandle) {
    loop {
        sleep(::metric::UPKEEP_INTERVAL).await;
        metrics.run_upkeep();
    }
}

/// Performs the planned stop: withdraws this entry, accepts requests for a part of the grace period, at last only those
/// that end within it, then refuses new ones and waits for those in flight.
async fn stop<S, W>(control: &Rc<Control<S, W>>, shared: &SharedState)
where
    S: Feed + Table + 'static,
    W: RowReader,
{
    let started = Instant::now();
    let grace = shared.published.load().bounds.grace;
    let serve_period = grace * SERVE_PCT / 100;
    let end = started + grace.saturating_sub(STOP_MARGIN);
    let under_way = || shared.active_requests.load(Ordering::Relaxed);
    emit(&Event::Stopping {
        under_way: under_way(),
    });
    let stopping_control = control.clone();
    actix_rt::spawn(async move { stopping_control.begin_stop().await });
    sleep_until((started + serve_period.min(ANY_DEADLINE_PERIOD)).into()).await;
    // Fails only if it has been set.
    let _ = shared.deadline_max.set(end);
    sleep_until((started + serve_period).into()).await;
    shared.closing.store(true, Ordering::Relaxed);
    sleep(REFUSAL_PERIOD).await;
    while under_way() > 0 && Instant::now() < end {
        sleep(STOP_POLL_INTERVAL).await;
    }
    control.close_sessions().await;
    emit(&Event::Stopped {
        under_way: under_way(),
        took_ms: millis(started.elapsed()),
    });
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// A signal handler can't be installed.
pub async fn stop_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("handling SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

fn bind(addr: SocketAddr, port: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr).wrap_err_with(|| format!("port of {port}: binding {addr}"))
}
