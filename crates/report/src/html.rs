//! The report as one HTML page that needs no network access.

use crate::{
    plot,
    text::{
        alert_lines,
        bad_pct,
        burn_text,
        format_duration,
        latency_line,
        objective,
        wall_time, //
    },
    ClassReport,
    Report, //
};

/// Style sheet, inlined so that the page loads no external resources.
const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:74em}\
    table{border-collapse:collapse;margin:.5em 0}\
    th,td{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}\
    th:first-child,td:first-child{text-align:left}\
    .alert{color:#b00020;font-weight:bold}.note{color:#555;max-width:60em}\
    .latency:first-letter{text-transform:uppercase}\
    .plots{display:flex;flex-wrap:wrap;gap:1em}";

impl Report {
    /// Formats the report as an HTML page.
    pub fn html(&self) -> String {
        let at = wall_time(self.at_ms);
        let classes: String = self.classes.iter().map(class_section).collect();
        format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
             <title>Service-level burn, {at}</title><style>{STYLE}</style></head><body>\n\
             <h1>Service-level burn</h1>\n<p>{at}, {} daemons counted, {} did not answer.</p>\n\
             {}{}{classes}<h2>Counted since</h2>\n{}<p class=\"note\">{}</p>\n</body></html>\n",
            self.counted.len(),
            self.not_answered.len(),
            self.unanswered_section(),
            self.alert_section(),
            self.daemon_table(),
            escape(self.coverage_note),
        )
    }

    /// Alerts of all classes, shown at the top so that a long page hides none.
    fn alert_section(&self) -> String {
        let alerts = self.classes.iter().flat_map(|class| {
            let lines = alert_lines(class).into_iter();
            lines.map(|line| format!("{}: {line}", class.class))
        });
        let lines: String = alerts
            .map(|alert| format!("<p class=\"alert\">{}</p>\n", escape(&alert)))
            .collect();
        if lines.is_empty() {
            return "<p>No alerts.</p>\n".to_owned();
        }
        lines
    }

    fn unanswered_section(&self) -> String {
        let items = self.not_answered.iter().map(|unanswered| {
            let (daemon, why) = (escape(&unanswered.daemon), escape(&unanswered.why));
            format!("<p class=\"alert\">Did not answer, not counted: {daemon}: {why}</p>\n")
        });
        items.collect()
    }

    fn daemon_table(&self) -> String {
        let header = ["instance", "region", "domain", "version", "counted for"];
        let rows = self.counted.iter().map(|daemon| {
            vec![
                format!("{}#{}", daemon.instance, daemon.incarnation),
                daemon.region.to_string(),
                daemon.failure_domain.to_string(),
                daemon.version.to_string(),
                format_duration(daemon.age_s),
            ]
        });
        table(&header, rows)
    }
}

fn class_section(class: &ClassReport) -> String {
    let header = [
        "window",
        "covered",
        "good requests",
        "bad requests",
        "bad, %",
        "burn",
    ];
    let rows = class.windows.iter().map(|window| {
        vec![
            format_duration(window.length_s),
            format!("{}%", window.covered_pct),
            window.good.to_string(),
            window.bad.to_string(),
            bad_pct(window),
            burn_text(window.burn),
        ]
    });
    let alerts: String = alert_lines(class)
        .iter()
        .map(|alert| format!("<p class=\"alert\">{}</p>\n", escape(alert)))
        .collect();
    format!(
        "<h2>{}</h2>\n<p>{}.</p>\n{alerts}{}<p class=\"latency\">{}.</p>\n<div class=\"plots\">\n{}{}</div>\n",
        escape(&class.class),
        escape(&objective(class)),
        table(&header, rows),
        latency_line(&class.latency),
        plot::burn(class),
        plot::latency(class),
    )
}

fn table(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let header: String = header
        .iter()
        .map(|cell| format!("<th>{cell}</th>"))
        .collect();
    let rows: String = rows
        .map(|cells| {
            let cells = cells.iter();
            let cells: String = cells
                .map(|cell| format!("<td>{}</td>", escape(cell)))
                .collect();
            format!("<tr>{cells}</tr>\n")
        })
        .collect();
    format!("<table>\n<tr>{header}</tr>\n{rows}</table>\n")
}

/// Escapes text for HTML: names come from operators' files and may contain markup.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}
