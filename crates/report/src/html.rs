//! The report as one page that opens without network.

use crate::{
    plot,
    text::{
        alert_lines,
        bad_pct,
        burn_text,
        latency_line,
        objective,
        span,
        wall_time, //
    },
    ClassReport,
    Report, //
};

/// Style of the page; nothing is loaded from elsewhere.
const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:74em}\
    table{border-collapse:collapse;margin:.5em 0}\
    th,td{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}\
    th:first-child,td:first-child{text-align:left}\
    .alert{color:#b00020;font-weight:bold}.note{color:#555;max-width:60em}\
    .latency:first-letter{text-transform:uppercase}\
    .plots{display:flex;flex-wrap:wrap;gap:1em}";

impl Report {
    /// The report as a page.
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
            self.missing(),
            self.alerts(),
            self.daemons(),
            escape(self.past),
        )
    }

    /// All alerts at once, for whoever sees only the top of a long page.
    fn alerts(&self) -> String {
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

    fn missing(&self) -> String {
        let items = self.not_answered.iter().map(|missing| {
            let (daemon, why) = (escape(&missing.daemon), escape(&missing.why));
            format!("<p class=\"alert\">Did not answer, not counted: {daemon}: {why}</p>\n")
        });
        items.collect()
    }

    fn daemons(&self) -> String {
        let head = ["instance", "region", "domain", "version", "counted for"];
        let rows = self.counted.iter().map(|daemon| {
            vec![
                format!("{}#{}", daemon.instance, daemon.incarnation),
                daemon.region.to_string(),
                daemon.failure_domain.to_string(),
                daemon.version.to_string(),
                span(daemon.age_s),
            ]
        });
        table(&head, rows)
    }
}

fn class_section(class: &ClassReport) -> String {
    let head = [
        "window",
        "covered",
        "good requests",
        "bad requests",
        "bad, %",
        "burn",
    ];
    let rows = class.windows.iter().map(|window| {
        vec![
            span(window.length_s),
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
        table(&head, rows),
        latency_line(&class.latency),
        plot::burn(class),
        plot::latency(class),
    )
}

fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let head: String = head.iter().map(|cell| format!("<th>{cell}</th>")).collect();
    let rows: String = rows
        .map(|cells| {
            let cells = cells.iter();
            let cells: String = cells
                .map(|cell| format!("<td>{}</td>", escape(cell)))
                .collect();
            format!("<tr>{cells}</tr>\n")
        })
        .collect();
    format!("<table>\n<tr>{head}</tr>\n{rows}</table>\n")
}

/// Text as HTML; names come from files that operators wrote.
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
