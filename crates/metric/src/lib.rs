//! Tables of metrics: names, kinds, units and meaning.
//!
//! Start with [`table!`]: a program declares each metric once, and the endpoint, `docs/METRICS.md` and the
//! code that counts take its name from there. [`install`] sets up the process's recorder and tells it
//! the table; [`UPKEEP`] says how often its owner has to call `run_upkeep`.

use eyre::WrapErr;
use metrics_exporter_prometheus::{
    PrometheusBuilder,
    PrometheusHandle, //
};
use std::{
    fmt::Write as _,
    time::Duration, //
};

/// Time between two calls of `run_upkeep`.
///
/// What goes wrong without them: each value of a histogram is kept until someone reads the metrics, so a
/// process that nobody asks grows with every request. One would notice memory that falls at the first
/// scrape. At 5 s some thousand values wait.
pub const UPKEEP: Duration = Duration::from_secs(5);

/// Upper ends of the buckets of times, in seconds: each some two to three times the one before, from the
/// way within a failure domain to the longest deadline.
const BUCKETS_S: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Kind of a metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Only grows.
    Counter,
    /// Goes up and down.
    Gauge,
    /// Distribution, exported as buckets.
    Histogram,
}

/// One metric.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Metric {
    /// Name as exported.
    pub name: &'static str,
    /// Kind.
    pub kind: Kind,
    /// Unit of the value.
    pub unit: &'static str,
    /// Labels, separated by commas.
    pub labels: &'static str,
    /// Meaning.
    pub help: &'static str,
}

/// Declares a constant for each metric's name, and the table of all.
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

/// Sets up the process's recorder and tells it each metric's meaning.
///
/// # Errors
///
/// The process has a recorder already.
pub fn install(table: &[Metric]) -> eyre::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new().set_buckets(&BUCKETS_S);
    let builder = builder.wrap_err("the buckets of times")?;
    let handle = builder.install_recorder();
    let handle = handle.wrap_err("installing the metrics recorder")?;
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

/// The table as a page shows it.
pub fn page_table(table: &[Metric]) -> String {
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
