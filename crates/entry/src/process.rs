//! The life of the process: ports, two threads, and the planned stop.

use crate::{
    channels::Channels,
    clock::Clock,
    control::Control,
    dialect::Dialect,
    rows::RowReader,
    settings::{
        Reload,
        Settings, //
    },
    snapshot::Snapshot,
    traffic::{
        open,
        Ports,
        Shared, //
    },
};
use actix_rt::{
    Arbiter,
    System, //
};
use arc_swap::ArcSwap;
use event::{
    emit,
    end_log,
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
        Arc, //
    },
    time::{
        Duration,
        Instant, //
    },
};
use tokio::signal::unix::{
    signal,
    SignalKind, //
};

/// Time kept free at the end of the grace period, for what a busy machine does late.
const STOP_MARGIN: Duration = Duration::from_millis(600);
/// Part of the grace period in which callers are still served. What goes wrong with a longer one: a
/// request that comes just before the end is cut with it. Most callers' answers to look-ups have run
/// out by then; the others are told that their request did not run, and use another entry.
const SERVE_PCT: u32 = 50;
/// Least time between the last request that is served and the end, so that refusals arrive.
const LAST_ANSWERS: Duration = Duration::from_millis(500);
/// Time between two looks whether all requests have ended.
const STOP_TICK: Duration = Duration::from_millis(50);

/// Runs an entry until the planned stop that `until` begins has ended.
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
    until: impl Future<Output = eyre::Result<()>>,
) -> eyre::Result<()>
where
    S: Feed + Table + 'static,
    W: RowReader,
{
    let settings = Arc::new(settings);
    let ports = Ports {
        callers: bind(settings.callers_addr, "callers")?,
        pages: vec![
            bind(settings.lookup_addr, "look-ups")?,
            bind(settings.ready_addr, "readiness")?,
            bind(settings.metrics_addr, "metrics")?,
        ],
    };
    let first = Snapshot {
        bounds: settings.bounds.clone(),
        ..Snapshot::default()
    };
    let published = Arc::new(ArcSwap::from_pointee(first));
    let channels = Channels::default();
    let clock = Clock::start();
    let shared = Arc::new(Shared {
        settings: settings.clone(),
        dialect,
        published: published.clone(),
        channels: channels.clone(),
        metrics,
        clock,
        under_way: AtomicUsize::new(0),
        closing: AtomicBool::new(false),
    });
    System::new().block_on(async move {
        emit(&Event::Started {
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            callers_addr: settings.callers_addr.to_string(),
        });
        let traffic = Arbiter::new();
        let of_traffic = shared.clone();
        let opened = traffic.spawn_fn(move || {
            if let Err(error) = open(ports, of_traffic) {
                emit(&Event::PortsNotServed {
                    error: error.to_string(),
                });
                System::current().stop_with_code(1);
            }
        });
        if !opened {
            return Err(eyre!("the traffic thread ended at its start"));
        }
        actix_rt::spawn(keep_up(shared.metrics.clone()));
        let control = Control::new(settings.clone(), store(), rows, clock, published, channels);
        control.start();
        let hangups = signal(SignalKind::hangup()).wrap_err("handling SIGHUP")?;
        let following = control.clone();
        actix_rt::spawn(async move { following.follow_settings(reload, hangups).await });
        until.await?;
        stop(&control, &shared).await;
        traffic.stop();
        end_log();
        Ok(())
    })
}

/// Empties what the recorder gathers, for as long as the process runs.
async fn keep_up(metrics: PrometheusHandle) {
    loop {
        tokio::time::sleep(::metric::UPKEEP).await;
        metrics.run_upkeep();
    }
}

/// The planned stop: out of use first, then serve what still comes, then end what runs.
async fn stop<S, W>(control: &Rc<Control<S, W>>, shared: &Shared)
where
    S: Feed + Table + 'static,
    W: RowReader,
{
    let begun = Instant::now();
    let under_way = || shared.under_way.load(Ordering::Relaxed);
    emit(&Event::Stopping {
        under_way: under_way(),
    });
    let grace = shared.published.load().bounds.grace;
    let leaving = control.clone();
    actix_rt::spawn(async move { leaving.begin_stop().await });
    tokio::time::sleep(grace * SERVE_PCT / 100).await;
    shared.closing.store(true, Ordering::Relaxed);
    tokio::time::sleep(LAST_ANSWERS).await;
    while under_way() > 0 && begun.elapsed() < grace.saturating_sub(STOP_MARGIN) {
        tokio::time::sleep(STOP_TICK).await;
    }
    control.end().await;
    emit(&Event::Stopped {
        under_way: under_way(),
        took_ms: begun.elapsed().as_millis() as u64,
    });
}

/// Waits for the signal to stop.
///
/// # Errors
///
/// The signals can't be watched.
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
