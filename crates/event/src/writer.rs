//! Writing lines, by a thread of the log's own.

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

/// Lines that may wait. At three quarters of a kilobyte each they stay under one megabyte.
const QUEUE_LINES: usize = 1200;
/// Longest wait for the queue at the end of the process. A reader that lives has taken all by then.
const END_WAIT: Duration = Duration::from_millis(200);

/// When the log was set up, about the start of the process.
static START: OnceLock<Instant> = OnceLock::new();
/// Lines that were lost since they were last asked for.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// How often the queue was written out whole.
static FLUSHED: Mutex<u64> = Mutex::new(0);
/// It was written out whole once more.
static FLUSH: Condvar = Condvar::new();

/// Sets up the process's log; each line names `instance`.
///
/// # Errors
///
/// The log's thread can't be started.
pub fn init_log(instance: &str) -> eyre::Result<()> {
    START.get_or_init(Instant::now);
    let instance = serde_json::to_string(instance).wrap_err("the instance's name")?;
    let stdout = StdStreamSink::builder()
        .stdout()
        .formatter(Lines { instance })
        .error_handler(note_lost)
        .build_arc()?;
    let flushes = Arc::new(Flushes(SinkProp::default()));
    let capacity = QUEUE_LINES.try_into()?;
    let pool = ThreadPool::builder().capacity(capacity).build_arc()?;
    let queue = AsyncPoolSink::builder()
        .sink(stdout)
        .sink(flushes)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(note_lost)
        .thread_pool(pool)
        .build_arc()?;
    let logger = Logger::builder()
        .sink(queue)
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .error_handler(note_lost)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes an event, unless the queue is full.
pub fn emit(event: &Event) {
    let Ok(json) = serde_json::to_string(event) else {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let up_ms = START.get_or_init(Instant::now).elapsed().as_millis();
    // The object's own brace gives way to the fields that stand before its own.
    let fields = json.get(1..).unwrap_or_default();
    match event.severity() {
        Severity::Error => spdlog::error!("{{\"up_ms\":{up_ms},{fields}"),
        Severity::Warn => spdlog::warn!("{{\"up_ms\":{up_ms},{fields}"),
        Severity::Info => spdlog::info!("{{\"up_ms\":{up_ms},{fields}"),
    }
}

/// Lines that were lost since the last call: the queue was full, or the output closed.
pub fn take_dropped() -> u64 {
    DROPPED.swap(0, Ordering::Relaxed)
}

/// Writes out what waits, and lets go of the log.
///
/// What goes wrong without it: at the end of a process the library waits for its thread, and that one
/// for whoever reads the output. With a reader that has stopped, the process never ends, and a planned
/// stop ends by force. So the wait here is bounded, and the library is left nothing to wait for.
pub fn end_log() {
    let flushed = || FLUSHED.lock().unwrap_or_else(PoisonError::into_inner);
    let before = *flushed();
    spdlog::default_logger().flush();
    // Whether it came to that or the time ran out, the process ends now.
    let _ = FLUSH.wait_timeout_while(flushed(), END_WAIT, |count| *count == before);
    if let Ok(silent) = Logger::builder().build_arc() {
        mem::forget(spdlog::swap_default_logger(silent));
    }
}

fn note_lost(_: spdlog::Error) {
    DROPPED.fetch_add(1, Ordering::Relaxed);
}

/// Takes part in the queue only to learn when it was written out.
struct Flushes(SinkProp);

impl GetSinkProp for Flushes {
    fn prop(&self) -> &SinkProp {
        &self.0
    }
}

impl Sink for Flushes {
    fn log(&self, _: &Record<'_>) -> spdlog::Result<()> {
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        *FLUSHED.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        FLUSH.notify_all();
        Ok(())
    }
}

/// Lines of JSON: an event is an object already, and whatever else comes becomes one.
#[derive(Clone)]
struct Lines {
    /// Name of the instance, as JSON.
    instance: String,
}

impl Formatter for Lines {
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
        let since = record.time().duration_since(UNIX_EPOCH);
        let time_ms = since.map_or(0, |since| since.as_millis());
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
