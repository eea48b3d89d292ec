//! State with the lifetime of the process: settings, control, pools, listeners.
//!
//! [`run`] binds the ports, starts the traffic threads, starts control on the calling thread, and
//! returns when a planned stop has completed.

pub(crate) mod active;
pub(crate) mod burn;
pub(crate) mod control;
pub(crate) mod filings;
pub(crate) mod link;
pub(crate) mod metric;
pub(crate) mod operator;
pub(crate) mod pool;
pub(crate) mod settings;
pub(crate) mod shared;
pub(crate) mod slots;
pub(crate) mod stop;

use crate::{
    connection::serve_callers,
    process::{
        control::{
            Control,
            ExitReason,
            Stop, //
        },
        settings::{
            LogLevel,
            Settings, //
        },
        shared::Shared, //
    },
};
use actix::{
    Actor,
    Addr,
    AsyncContext,
    Context, //
};
use actix_web::{
    dev::Server,
    middleware::from_fn,
    web,
    App,
    HttpServer, //
};
use eyre::WrapErr;
use spdlog::{
    formatter::JsonFormatter,
    sink::StdStreamSink,
    LevelFilter,
    Logger, //
};
use std::{
    future::Future,
    net::TcpListener,
    sync::Arc,
    time::{
        SystemTime,
        UNIX_EPOCH, //
    },
};
use tokio::{
    signal::unix::{
        signal,
        SignalKind, //
    },
    sync::{
        mpsc,
        oneshot, //
    },
};
use tokio_stream::wrappers::UnboundedReceiverStream;

/// Runs the daemon until a planned stop has completed.
///
/// # Errors
///
/// A port can't be bound, or a logger or metrics recorder can't be installed.
pub fn run(settings: Settings) -> eyre::Result<()> {
    init_logs(settings.log_level).wrap_err("initializing the log")?;
    let metrics = ::metric::install(metric::METRICS)?;
    let callers = bind(settings.callers_addr.to_string(), "callers_addr")?;
    let peers = bind(settings.peers_addr.to_string(), "peers_addr")?;
    let operators = bind(settings.operator_addr.to_string(), "operator_addr")?;
    let (control_tx, control_rx) = mpsc::unbounded_channel();
    let start_wall_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        });
    let shared = Arc::new(Shared::new(settings, metrics, control_tx, start_wall_ms));
    actix_rt::System::new().block_on(async move {
        let (end_tx, end_rx) = oneshot::channel();
        let control = Control::create(|ctx: &mut Context<Control>| {
            ctx.add_stream(UnboundedReceiverStream::new(control_rx));
            Control::new(Arc::clone(&shared), peers, end_tx)
        });
        let traffic = serve_callers(callers, &shared)?;
        let operator = serve_operators(operators, &shared, control.clone())?;
        let servers = [traffic.handle(), operator.handle()];
        actix_rt::spawn(traffic);
        actix_rt::spawn(operator);
        actix_rt::spawn(stop_on_signal(control)?);
        spdlog::info!("started", kv: { instance = shared.settings.instance.to_string() });
        let end = end_rx.await.unwrap_or(ExitReason::ControlLost);
        for server in servers {
            // Only idle connections are left to close; no request is in flight any more.
            server.stop(true).await;
        }
        end.into_result()
    })
}

/// Requests a planned stop from control on the first signal. Further signals don't speed it up.
fn stop_on_signal(control: Addr<Control>) -> eyre::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("handling SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("handling SIGINT")?;
    Ok(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            control.do_send(Stop);
        }
    })
}

fn bind(addr: String, setting: &str) -> eyre::Result<TcpListener> {
    TcpListener::bind(&addr).wrap_err_with(|| format!("{setting}: binding {addr}"))
}

fn serve_operators(
    listener: TcpListener,
    shared: &Arc<Shared>,
    control: Addr<Control>,
) -> eyre::Result<Server> {
    let shared = web::Data::new(Arc::clone(shared));
    let server = HttpServer::new(move || {
        App::new()
            .app_data(shared.clone())
            .wrap(from_fn(operator::authenticate))
            .configure(operator::routes(control.clone()))
    })
    .workers(1)
    .disable_signals()
    .listen(listener)?;
    Ok(server.run())
}

/// Sets up the logger: JSON lines on standard error.
fn init_logs(level: LogLevel) -> eyre::Result<()> {
    let level = match level {
        LogLevel::Debug => spdlog::Level::Debug,
        LogLevel::Info => spdlog::Level::Info,
        LogLevel::Warn => spdlog::Level::Warn,
        LogLevel::Error => spdlog::Level::Error,
    };
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .flush_level_filter(LevelFilter::All)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
