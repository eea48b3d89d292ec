//! Writing of log lines on a separate thread.

use crate::event::{
    Event,
    Severity, //
};
use eyre::WrapErr;
use spdlog::{
    formatter::{
        Formatter,
        FormatterContext, //
    },
    sink::{
        AsyncPoolSink,
        GetSinkProp,
        OverflowPolicy,
        Sink,
        SinkProp,
        StdStreamSink, //
    },
    Level,
    LevelFilter,
    Logger,
    Record,
    StringBuf,
    ThreadPool, //
};
use std::{
    fmt::Write as _,
    mem,
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
        Condvar,
        Mutex,
        OnceLock,
        PoisonError, //
    },
    time::{
        Duration,
        Instant,
        UNIX_EPOCH, //
    },
};

/// Capacity of the queue in lines: less than 1 MB at 0.75 kB per line.
const QUEUE_LINES: usize = 1200;
/// Maximum time to wait for the queue to be flush_count at exit; an active reader has read everything by then.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Time at which the log was initialised, shortly after the start of the process.
static LOG_START: OnceLock<Instant> = OnceLock::new();
/// Number of lines dropped since the last call of [`take_dropped_lines`].
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Number of completed flush_counter of the queue.
static FLUSH_COUNT: Mutex<u64> = Mutex::new(0);
/// Signals a completed flush.
static FLUSH_DONE: Condvar = Condvar::new();

/// Initialises the process's log; each line contains `instance`.
///
/// # Errors
///
/// The logger or its thread can't be created.
pub fn init_log(instance: &str) -> eyre::Result<()> {
    LOG_START.get_or_init(Instant::now);
    let instance = serde_json::to_string(instance).wrap_err("can't serialise the instance name")?;
    let stdout = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter { instance })
        .error_handler(count_dropped)
        .build_arc()?;
    let flush_counter = Arc::new(FlushCounter(SinkProp::default()));
    let capacity = QUEUE_LINES.try_into()?;
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(stdout)
        .sink(flush_counter)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(count_dropped)
        .thread_pool(pool)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .error_handler(count_dropped)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Logs an event; drops it if the queue is full.
pub fn emit(event: &Event) {
    let Ok(json) = serde_json::to_string(event) else {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let up_ms = LOG_START.get_or_init(Instant::now).elapsed().as_millis();
    // Strip the opening brace, as the fields of the line are written before those of the event.
    let fields = json.get(1..).unwrap_or_default();
    match event.severity() {
        Severity::Error => spdlog::error!("{{\"up_ms\":{up_ms},{fields}"),
        Severity::Warn => spdlog::warn!("{{\"up_ms\":{up_ms},{fields}"),
        Severity::Info => spdlog::info!("{{\"up_ms\":{up_ms},{fields}"),
    }
}

/// Returns the number of lines dropped since the last call because the queue was full, the output was
/// closed or an event could not be serialised.
pub fn take_dropped_lines() -> u64 {
    DROPPED.swap(0, Ordering::Relaxed)
}

/// FlushCounter the queue and abandons the logger.
///
/// At exit, the logging library joins its thread, which blocks while the output isn't read. If the reader has
/// stopped, the process would never exit, and a planned stop would end in a forced kill. Therefore the wait here
/// is bounded, and the logger is leaked so that the library has nothing to join.
pub fn shutdown_log() {
    let flush_count = || FLUSH_COUNT.lock().unwrap_or_else(PoisonError::into_inner);
    let count_before = *flush_count();
    spdlog::default_logger().flush();
    // The process exits now, whether the flush completed or timed out.
    let _ =
        FLUSH_DONE.wait_timeout_while(flush_count(), FLUSH_TIMEOUT, |count| *count == count_before);
    if let Ok(empty_logger) = Logger::builder().build_arc() {
        mem::forget(spdlog::swap_default_logger(empty_logger));
    }
}

fn count_dropped(_: spdlog::Error) {
    DROPPED.fetch_add(1, Ordering::Relaxed);
}

/// Sink that only counts flush_counter of the queue.
struct FlushCounter(SinkProp);

impl GetSinkProp for FlushCounter {
    fn prop(&self) -> &SinkProp {
        &self.0
    }
}

impl Sink for FlushCounter {
    fn log(&self, _: &Record<'_>) -> spdlog::Result<()> {
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        *FLUSH_COUNT.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        FLUSH_DONE.notify_all();
        Ok(())
    }
}

/// Formats records as JSON lines; a payload that isn't an event is wrapped in a `text` event.
#[derive(Clone)]
struct JsonFormatter {
    /// Name of the instance as a JSON string.
    instance: String,
}

impl Formatter for JsonFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let level = match record.level() {
            Level::Critical | Level::Error => "error",
            Level::Warn => "warn",
            _ => "info",
        };
        let since_epoch = record.time().duration_since(UNIX_EPOCH);
        let time_ms = since_epoch.map_or(0, |since_epoch| since_epoch.as_millis());
        let instance = &self.instance;
        let written = write!(
            dest,
            "{{\"time_ms\":{time_ms},\"level\":\"{level}\",\"instance\":{instance},"
        );
        let payload = record.payload();
        let written = written.and_then(|()| match payload.strip_prefix('{') {
            Some(fields) => writeln!(dest, "{fields}"),
            None => {
                let text = serde_json::Value::from(payload);
                writeln!(dest, "\"event\":\"text\",\"text\":{text}}}")
            }
        });
        written.map_err(spdlog::Error::FormatRecord)
    }
}
