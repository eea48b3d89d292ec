//! Metric tables: names, kinds, units, labels and help texts.
//!
//! A program declares each metric once with [`table!`]; the metrics endpoint, `docs/METRICS.md` and the
//! instrumented code all take the name from that declaration. [`install`] installs the process's recorder
//! and registers the help texts; [`UPKEEP_INTERVAL`] is the interval at which the caller must call `run_upkeep`.

use eyre::WrapErr;
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use std::{
    fmt::Write as _,
    time::Duration, //
};

/// Interval between calls of `run_upkeep`.
///
/// Without these calls, the recorder buffers each histogram value until the metrics are rendered, so the
/// memory of a process that is never scraped grows with every request and drops at the first scrape. At 5 s,
/// several thousand values are buffered.
pub const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bounds of the histogram buckets for durations, in seconds: each two to 2.5 times the previous one,
/// from the latency within a failure domain to the longest deadline.
const DURATION_BUCKETS_S: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Kind of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Monotonically increasing value.
    Counter,
    /// Value that can increase and decrease.
    Gauge,
    /// Distribution of values, exported as buckets.
    Histogram,
}

/// Declaration of one metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// Exported name.
    pub name: &'static str,
    /// Kind.
    pub kind: Kind,
    /// Unit of the value.
    pub unit: &'static str,
    /// Label names, separated by commas.
    pub labels: &'static str,
    /// Help text.
    pub help: &'static str,
}

/// Declares a constant for the name of each metric, and a table of all the metrics.
#[macro_export]
macro_rules! table {
    (
        $(#[$doc:meta])* $table:ident;
        $($konst:ident = $name:literal, $kind:ident, $unit:literal, $labels:literal, $help:literal;)*
    ) => {
        $(
            #[doc = $help]
            pub(crate) const $konst: &str = $name;
        )*
        $(#[$doc])*
        pub const $table: &[$crate::Metric] = &[
            $($crate::Metric {
                name: $name,
                kind: $crate::Kind::$kind,
                unit: $unit,
                labels: $labels,
                help: $help,
            },)*
        ];
    };
}

/// Installs the process's recorder and registers the help text of each metric.
///
/// # Errors
///
/// The process already has a recorder.
pub fn install(table: &[Metric]) -> eyre::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&DURATION_BUCKETS_S);
    let builder = builder.wrap_err("invalid histogram buckets")?;
    let handle = builder.install_recorder();
    let handle = handle.wrap_err("can't install the metrics recorder")?;
    describe(table);
    Ok(handle)
}

fn describe(table: &[Metric]) {
    for metric in table {
        match metric.kind {
            Kind::Counter => metrics::describe_counter!(metric.name, metric.help),
            Kind::Gauge => metrics::describe_gauge!(metric.name, metric.help),
            Kind::Histogram => metrics::describe_histogram!(metric.name, metric.help),
        }
    }
}

/// Formats the table as Markdown.
pub fn markdown_table(table: &[Metric]) -> String {
    let mut page = String::from(
        "| name | kind | unit | labels | meaning |\n| --- | --- | --- | --- | --- |\n",
    );
    for metric in table {
        let kind = format!("{:?}", metric.kind).to_lowercase();
        let Metric {
            name,
            unit,
            labels,
            help,
            ..
        } = metric;
        writeln!(page, "| `{name}` | {kind} | {unit} | {labels} | {help} |")
            .expect("writing to a string can't fail");
    }
    page
}
