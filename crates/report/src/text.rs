//! The report as text.

use crate::{
    AlertKind,
    ClassReport,
    LatencyReport,
    Report,
    Window, //
};
use std::{
    fmt::Write,
    time::{
        Duration,
        UNIX_EPOCH, //
    },
};

impl Report {
    /// The report for a terminal.
    pub fn text(&self) -> String {
        let mut text = format!(
            "service-level burn at {}, {} daemons counted, {} did not answer\n",
            wall_time(self.at_ms),
            self.counted.len(),
            self.not_answered.len()
        );
        for class in &self.classes {
            write_class(&mut text, class);
        }
        if self.classes.is_empty() {
            text += "\nno daemon has classes in force\n";
        }
        text += "\ncounted since\n";
        for daemon in &self.counted {
            let instance = format!("{}#{}", daemon.instance, daemon.incarnation);
            line(
                &mut text,
                format_args!(
                    "  {instance:<24} {:>7} ago, version {}",
                    span(daemon.age_s),
                    daemon.version
                ),
            );
        }
        for missing in &self.not_answered {
            let why = missing.why.replace('\n', " ");
            line(
                &mut text,
                format_args!("did not answer, not counted: {}: {why}", missing.daemon),
            );
        }
        line(&mut text, format_args!("\n{}", self.past));
        text
    }
}

fn write_class(text: &mut String, class: &ClassReport) {
    line(
        text,
        format_args!("\n{}: {}", class.class, objective(class)),
    );
    line(
        text,
        format_args!(
            "  {:>6}  {:>7}  {:>10}  {:>10}  {:>9}  {:>8}",
            "window", "covered", "good", "bad", "bad %", "burn"
        ),
    );
    for window in &class.windows {
        line(
            text,
            format_args!(
                "  {:>6}  {:>6}%  {:>10}  {:>10}  {:>9}  {:>8}",
                span(window.length_s),
                window.covered_pct,
                window.good,
                window.bad,
                bad_pct(window),
                burn_text(window.burn)
            ),
        );
    }
    line(text, format_args!("  {}", latency_line(&class.latency)));
    for alert in alert_lines(class) {
        line(text, format_args!("  {alert}"));
    }
}

/// What is asked of a class.
pub(crate) fn objective(class: &ClassReport) -> String {
    let mut text = format!(
        "{}% whole within {} ms",
        percent(class.success_target_ppm),
        class.latency_target_ms
    );
    if class.targets_differ {
        text += " (some daemons still count by other targets)";
    }
    text
}

/// Percentiles of a class's latency, if there is any.
pub(crate) fn latency_line(latency: &LatencyReport) -> String {
    if latency.count == 0 {
        return "no whole answers yet".to_owned();
    }
    format!(
        "latency of {} whole answers: p50 {}, p90 {}, p99 {}, p99.9 {}, max {}",
        latency.count,
        ms(latency.p50_us),
        ms(latency.p90_us),
        ms(latency.p99_us),
        ms(latency.p999_us),
        ms(latency.max_us)
    )
}

/// One line for each alert.
pub(crate) fn alert_lines(class: &ClassReport) -> Vec<String> {
    let lines = class.alerts.iter().map(|alert| {
        let kind = match alert.kind {
            AlertKind::Fast => "FAST",
            AlertKind::Slow => "SLOW",
        };
        format!(
            "{kind} BURN: {} or more over {} and over the last {}",
            alert.threshold,
            span(alert.long_s),
            span(alert.short_s)
        )
    });
    lines.collect()
}

/// Burn with two digits after the point.
pub(crate) fn burn_text(burn: Option<f64>) -> String {
    match burn {
        None => "-".to_owned(),
        Some(f64::MAX) => "no budget".to_owned(),
        Some(burn) => format!("{burn:.2}"),
    }
}

/// Part of bad requests.
pub(crate) fn bad_pct(window: &Window) -> String {
    window.bad_ppm.map_or_else(|| "-".to_owned(), percent)
}

/// Parts per million as a percentage without needless digits.
pub(crate) fn percent(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Microseconds in milliseconds.
fn ms(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1000.0)
}

/// Seconds in the largest unit that fits.
pub(crate) fn span(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds} s"),
        60..3600 => format!("{} min", seconds / 60),
        _ => format!("{:.1} h", seconds as f64 / 3600.0).replace(".0 h", " h"),
    }
}

/// Wall time for people.
pub(crate) fn wall_time(at_ms: u64) -> String {
    let at = UNIX_EPOCH.checked_add(Duration::from_millis(at_ms));
    at.map_or_else(
        || "-".to_owned(),
        |at| humantime::format_rfc3339_seconds(at).to_string(),
    )
}

/// Adds a line.
fn line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string can't fail");
}
