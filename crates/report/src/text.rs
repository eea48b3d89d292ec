//! The report as plain text.

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
    /// Formats the report for a terminal.
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
            push_line(
                &mut text,
                format_args!(
                    "  {instance:<24} {:>7} ago, version {}",
                    format_duration(daemon.age_s),
                    daemon.version
                ),
            );
        }
        for unanswered in &self.not_answered {
            let why = unanswered.why.replace('\n', " ");
            push_line(
                &mut text,
                format_args!("did not answer, not counted: {}: {why}", unanswered.daemon),
            );
        }
        push_line(&mut text, format_args!("\n{}", self.coverage_note));
        text
    }
}

fn write_class(text: &mut String, class: &ClassReport) {
    push_line(
        text,
        format_args!("\n{}: {}", class.class, objective(class)),
    );
    push_line(
        text,
        format_args!(
            "  {:>6}  {:>7}  {:>10}  {:>10}  {:>9}  {:>8}",
            "window", "covered", "good", "bad", "bad %", "burn"
        ),
    );
    for window in &class.windows {
        push_line(
            text,
            format_args!(
                "  {:>6}  {:>6}%  {:>10}  {:>10}  {:>9}  {:>8}",
                format_duration(window.length_s),
                window.covered_pct,
                window.good,
                window.bad,
                bad_pct(window),
                burn_text(window.burn)
            ),
        );
    }
    push_line(text, format_args!("  {}", latency_line(&class.latency)));
    for alert in alert_lines(class) {
        push_line(text, format_args!("  {alert}"));
    }
}

/// Targets of a class.
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

/// Percentiles of a class's latency, if it has complete responses.
pub(crate) fn latency_line(latency: &LatencyReport) -> String {
    if latency.count == 0 {
        return "no whole answers yet".to_owned();
    }
    format!(
        "latency of {} whole answers: p50 {}, p90 {}, p99 {}, p99.9 {}, max {}",
        latency.count,
        format_ms(latency.p50_us),
        format_ms(latency.p90_us),
        format_ms(latency.p99_us),
        format_ms(latency.p999_us),
        format_ms(latency.max_us)
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
            format_duration(alert.long_s),
            format_duration(alert.short_s)
        )
    });
    lines.collect()
}

/// Burn with two decimal places.
pub(crate) fn burn_text(burn: Option<f64>) -> String {
    match burn {
        None => "-".to_owned(),
        Some(f64::MAX) => "no budget".to_owned(),
        Some(burn) => format!("{burn:.2}"),
    }
}

/// Percentage of bad requests.
pub(crate) fn bad_pct(window: &Window) -> String {
    window.bad_ppm.map_or_else(|| "-".to_owned(), percent)
}

/// Parts per million as a percentage without trailing zeros.
pub(crate) fn percent(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Formats microseconds as milliseconds.
fn format_ms(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1000.0)
}

/// Formats seconds in the largest unit that fits.
pub(crate) fn format_duration(seconds: u64) -> String {
    match seconds {
        0..60 => format!("{seconds} s"),
        60..3600 => format!("{} min", seconds / 60),
        _ => format!("{:.1} h", seconds as f64 / 3600.0).replace(".0 h", " h"),
    }
}

/// Wall time in RFC 3339 format, or `-` if it is out of range.
pub(crate) fn wall_time(at_ms: u64) -> String {
    let at = UNIX_EPOCH.checked_add(Duration::from_millis(at_ms));
    at.map_or_else(
        || "-".to_owned(),
        |at| humantime::format_rfc3339_seconds(at).to_string(),
    )
}

/// Appends a line to the text.
fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string can't fail");
}
