//! Plots as SVG.

use crate::{
    window::{
        FAST_BURN,
        MINUTES,
        SLOW_BURN, //
    },
    ClassReport,
    Minute, //
};
use plotters::{
    coord::Shift,
    prelude::*, //
};

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (560, 260);
/// Space on the right for half of the last label.
const RIGHT_MARGIN: u32 = 24;
/// Least top of the scale of burn.
const BURN_TOP: f64 = 20.0;
/// Largest burn that is plotted; higher ones end at the top.
const BURN_MAX: f64 = 1000.0;
/// Burn that uses the budget up exactly in time.
const SUSTAINABLE: f64 = 1.0;
/// Least of the scale of burn, which is logarithmic; less is shown as this.
const BURN_LEAST: f64 = 0.01;
/// Least of the scale of latency, in milliseconds.
const LATENCY_LEAST_MS: f64 = 0.01;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type DrawError = DrawingAreaErrorKind<<SVGBackend<'static> as DrawingBackend>::ErrorType>;

/// Burn by minute over the last hour.
pub(crate) fn burn(class: &ClassReport) -> String {
    svg(|area| draw_burn(area, class))
}

/// Latency by percentile, with the target.
pub(crate) fn latency(class: &ClassReport) -> String {
    svg(|area| draw_latency(area, class))
}

fn svg(draw: impl FnOnce(&Area<'_>) -> Result<(), DrawError>) -> String {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        // Drawing into a string fails for no reason that a reader could do something about.
        draw(&area)
            .and_then(|()| area.present())
            .expect("drawing into a string can't fail");
    }
    text
}

fn draw_burn(area: &Area<'_>, class: &ClassReport) -> Result<(), DrawError> {
    area.fill(&WHITE)?;
    let burns = class.minutes.iter().filter_map(|minute| minute.burn);
    let highest = burns.fold(BURN_TOP, f64::max).min(BURN_MAX);
    let minutes = MINUTES as f64;
    let mut chart = ChartBuilder::on(area)
        .caption(
            "burn by minute; lines: 1 in time, 6 slow alert, 14.4 fast alert",
            ("sans-serif", 14),
        )
        .margin(8)
        .margin_right(RIGHT_MARGIN)
        .x_label_area_size(34)
        .y_label_area_size(48)
        .build_cartesian_2d(-minutes..0.0, (BURN_LEAST..highest).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("minutes ago")
        .x_label_formatter(&|x| format!("{:.0}", x.abs()))
        .y_label_formatter(&|y| format!("{y}"))
        .draw()?;
    for (level, color) in [
        (SUSTAINABLE, &GREEN),
        (SLOW_BURN, &YELLOW),
        (FAST_BURN, &RED),
    ] {
        let line = [(-minutes, level), (0.0, level)];
        chart.draw_series(LineSeries::new(line, color.stroke_width(1)))?;
    }
    for stretch in stretches(&class.minutes) {
        let points = stretch
            .iter()
            .map(|(x, y)| (*x, y.clamp(BURN_LEAST, highest)));
        let points: Vec<(f64, f64)> = points.collect();
        let dots = points.iter().map(|at| Circle::new(*at, 2, BLUE.filled()));
        chart.draw_series(dots)?;
        chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    }
    Ok(())
}

/// Runs of minutes with requests; a gap is no burn of zero.
fn stretches(minutes: &[Minute]) -> Vec<Vec<(f64, f64)>> {
    let mut stretches = vec![Vec::new()];
    for minute in minutes {
        let at = -(minute.ago_min as f64) - 0.5;
        match (minute.burn, stretches.last_mut()) {
            (Some(burn), Some(stretch)) => stretch.push((at, burn)),
            _ => stretches.push(Vec::new()),
        }
    }
    stretches.retain(|stretch| !stretch.is_empty());
    stretches
}

fn draw_latency(area: &Area<'_>, class: &ClassReport) -> Result<(), DrawError> {
    area.fill(&WHITE)?;
    let target_ms = class.latency_target_ms as f64;
    let curve: Vec<(f64, f64)> = class
        .latency
        .curve
        .iter()
        .map(|(percentile, us)| {
            (
                nines(*percentile),
                (*us as f64 / 1000.0).max(LATENCY_LEAST_MS),
            )
        })
        .collect();
    let values = || curve.iter().map(|(_, ms)| *ms).chain([target_ms]);
    let least = values().fold(f64::MAX, f64::min) / 2.0;
    let highest = values().fold(LATENCY_LEAST_MS, f64::max) * 2.0;
    let mut chart = ChartBuilder::on(area)
        .caption(
            "latency by percentile, ms; line: target",
            ("sans-serif", 14),
        )
        .margin(8)
        .margin_right(RIGHT_MARGIN)
        .x_label_area_size(34)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..4.0, (least.max(LATENCY_LEAST_MS)..highest).log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_labels(5)
        .x_desc("percentile")
        .x_label_formatter(&|x| percentile_label(*x))
        .y_label_formatter(&|y| format!("{y:.1}"))
        .draw()?;
    let target = [(0.0, target_ms), (4.0, target_ms)];
    chart.draw_series(LineSeries::new(target, RED.stroke_width(1)))?;
    chart.draw_series(LineSeries::new(curve, BLUE.stroke_width(2)))?;
    Ok(())
}

/// Place of a percentile on a scale that gives each further nine the same room.
fn nines(percentile: f64) -> f64 {
    let left = (1.0 - percentile / 100.0).max(1e-4);
    -left.log10()
}

fn percentile_label(nines: f64) -> String {
    let percentile = 100.0 * (1.0 - 10f64.powf(-nines));
    let text = format!("{percentile:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
