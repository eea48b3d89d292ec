//! Plots of burn and latency, rendered as SVG.

use crate::{
    window::{
        FAST_BURN,
        PLOTTED_MINUTES,
        SLOW_BURN, //
    },
    ClassReport,
    Minute, //
};
use plotters::{
    coord::{
        cartesian::Cartesian2d,
        combinators::LogCoord,
        types::RangedCoordf64,
        Shift, //
    },
    prelude::*, //
};
use std::ops::Range;

/// Size of a plot, in pixels.
const SIZE: (u32, u32) = (560, 270);
/// Margin on the right, in pixels, which holds half of the last label.
const RIGHT_MARGIN: u32 = 24;
/// Height of the area for the labels and title of the x axis, in pixels.
const X_LABEL_AREA: u32 = 36;
/// Width of the area for the labels and title of the y axis, in pixels.
const Y_LABEL_AREA: u32 = 62;
/// Ratio of a scale's start to its lowest tick; rounding could hide a tick at the start itself.
const SCALE_START_FACTOR: f64 = 0.999;
/// Family and size of the font of all labels.
const FONT: (&str, u32) = ("sans-serif", 12);
/// Offset of a label from the left end of the line below it, in pixels.
const LABEL_OFFSET: (i32, i32) = (4, -14);
/// Ticks to request for each decade in order to get nine, only some of which are labelled.
const TICKS_PER_DECADE: f64 = 12.0;
/// Ratio of a scale's end to the highest value, which leaves a margin above it.
const TOP_MARGIN_FACTOR: f64 = 1.6;
/// Color of the grid lines.
const GRID_COLOR: RGBColor = RGBColor(230, 230, 230);
/// Color of measured values.
const MEASURED_COLOR: RGBColor = BLUE;
/// Color of the sustainable burn.
const SUSTAINABLE_COLOR: RGBColor = RGBColor(0, 130, 0);
/// Color of the threshold of slow alerts.
const WARNING_COLOR: RGBColor = RGBColor(205, 110, 0);
/// Color of the threshold of fast alerts and of the latency target.
const CRITICAL_COLOR: RGBColor = RGBColor(200, 0, 0);
/// Lowest end of the scale of burn, so that it always includes the alert thresholds.
const BURN_SCALE_TOP_MIN: f64 = 20.0;
/// Highest burn that is plotted; higher values are clamped.
const PLOTTED_BURN_MAX: f64 = 1000.0;
/// Burn that uses up the budget exactly at the end of the target's period.
const SUSTAINABLE_BURN: f64 = 1.0;
/// Start of the logarithmic scale of burn; lower values are clamped to it.
const BURN_SCALE_MIN: f64 = 0.01;
/// Lowest start of the logarithmic scale of latency, in milliseconds.
const LATENCY_SCALE_MIN_MS: f64 = 0.01;
/// End of the scale of percentiles, as a number of nines: 99.99 %.
const NINES_MAX: f64 = 4.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, LogCoord<f64>>>;
type DrawError = DrawingAreaErrorKind<<SVGBackend<'static> as DrawingBackend>::ErrorType>;

/// Plots the burn by minute over the last hour.
pub(crate) fn burn(class: &ClassReport) -> String {
    render_svg(|area| draw_burn(area, class))
}

/// Plots the latency by percentile, with the latency target.
pub(crate) fn latency(class: &ClassReport) -> String {
    render_svg(|area| draw_latency(area, class))
}

fn render_svg(draw: impl FnOnce(&Area<'_>) -> Result<(), DrawError>) -> String {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        // The backend writes to a string, which reports no errors that a user could act on.
        draw(&area)
            .and_then(|()| area.present())
            .expect("drawing into a string can't fail");
    }
    text
}

fn draw_burn(area: &Area<'_>, class: &ClassReport) -> Result<(), DrawError> {
    area.fill(&WHITE)?;
    let burns = class.minutes.iter().filter_map(|minute| minute.burn);
    let highest = burns
        .fold(BURN_SCALE_TOP_MIN, f64::max)
        .min(PLOTTED_BURN_MAX);
    let minutes = PLOTTED_MINUTES as f64;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .margin_right(RIGHT_MARGIN)
        .x_label_area_size(X_LABEL_AREA)
        .y_label_area_size(Y_LABEL_AREA)
        .build_cartesian_2d(
            -minutes..0.0,
            (BURN_SCALE_MIN * SCALE_START_FACTOR..highest * TOP_MARGIN_FACTOR).log_scale(),
        )?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(GRID_COLOR)
        .label_style(FONT)
        .x_desc("minutes ago")
        .y_desc("burn by minute")
        .x_label_formatter(&|x| format!("{:.0}", x.abs()))
        .y_label_formatter(&|y| burn_tick_label(*y))
        .draw()?;
    for (level, label, color) in [
        (
            SUSTAINABLE_BURN,
            "1: the budget lasts just long enough",
            SUSTAINABLE_COLOR,
        ),
        (SLOW_BURN, "6: slow alert", WARNING_COLOR),
        (FAST_BURN, "14.4: fast alert", CRITICAL_COLOR),
    ] {
        draw_level(&mut chart, level, label, color)?;
    }
    let segments = segments(&class.minutes);
    if segments.is_empty() {
        let message = "no requests in the last hour";
        draw_label(&mut chart, BURN_SCALE_MIN, message, MEASURED_COLOR)?;
    }
    for segment in segments {
        let points = segment
            .iter()
            .map(|(x, y)| (*x, y.clamp(BURN_SCALE_MIN, highest)));
        let points: Vec<(f64, f64)> = points.collect();
        let dots = points
            .iter()
            .map(|position| Circle::new(*position, 2, MEASURED_COLOR.filled()));
        chart.draw_series(dots)?;
        chart.draw_series(LineSeries::new(points, MEASURED_COLOR.stroke_width(2)))?;
    }
    Ok(())
}

/// Draws a horizontal line at a level, with a label above its left end.
fn draw_level(
    chart: &mut Chart<'_, '_>,
    level: f64,
    label: &str,
    color: RGBColor,
) -> Result<(), DrawError> {
    let x_range = chart.x_range();
    let line = [(x_range.start, level), (x_range.end, level)];
    chart.draw_series(LineSeries::new(line, color.stroke_width(1)))?;
    draw_label(chart, level, label, color)
}

/// Draws a label above a level, at the left end of the plot.
fn draw_label(
    chart: &mut Chart<'_, '_>,
    level: f64,
    label: &str,
    color: RGBColor,
) -> Result<(), DrawError> {
    let position = (chart.x_range().start, level);
    let style = FONT.into_font().color(&color);
    let text = Text::new(label.to_owned(), LABEL_OFFSET, style);
    chart.draw_series([EmptyElement::at(position) + text])?;
    Ok(())
}

/// Runs of consecutive minutes with requests; minutes without any leave a gap in the plot.
fn segments(minutes: &[Minute]) -> Vec<Vec<(f64, f64)>> {
    let mut segments = vec![Vec::new()];
    for minute in minutes {
        let position = -(minute.ago_min as f64) - 0.5;
        match (minute.burn, segments.last_mut()) {
            (Some(burn), Some(segment)) => segment.push((position, burn)),
            _ => segments.push(Vec::new()),
        }
    }
    segments.retain(|segment| !segment.is_empty());
    segments
}

fn draw_latency(area: &Area<'_>, class: &ClassReport) -> Result<(), DrawError> {
    area.fill(&WHITE)?;
    let target_ms = class.latency_target_ms as f64;
    let curve = class.latency.curve.iter().map(|(percentile, us)| {
        let latency_ms = (*us as f64 / 1000.0).max(LATENCY_SCALE_MIN_MS);
        (nines(*percentile), latency_ms)
    });
    // Points beyond the scale, such as the maximum, would be drawn as a spike at its end.
    let curve: Vec<(f64, f64)> = curve.filter(|(nines, _)| *nines <= NINES_MAX).collect();
    let values = || curve.iter().map(|(_, ms)| *ms).chain([target_ms]);
    let lowest = values().fold(f64::MAX, f64::min).max(LATENCY_SCALE_MIN_MS);
    let highest = values().fold(LATENCY_SCALE_MIN_MS, f64::max) * TOP_MARGIN_FACTOR;
    let scale = scale_start(lowest)..highest;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .margin_right(RIGHT_MARGIN)
        .x_label_area_size(X_LABEL_AREA)
        .y_label_area_size(Y_LABEL_AREA)
        .build_cartesian_2d(0.0..NINES_MAX, scale.clone().log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(GRID_COLOR)
        .label_style(FONT)
        .x_labels(5)
        .y_labels(tick_count(&scale))
        .x_desc("percentile of whole answers since each daemon's start")
        .y_desc("latency, ms")
        .x_label_formatter(&|x| percentile_tick_label(*x))
        .y_label_formatter(&|y| latency_tick_label(*y))
        .draw()?;
    let target = format!("target: {target_ms} ms");
    draw_level(&mut chart, target_ms, &target, CRITICAL_COLOR)?;
    if curve.is_empty() {
        let bottom = chart.y_range().start;
        draw_label(&mut chart, bottom, "no whole answers yet", MEASURED_COLOR)?;
    }
    chart.draw_series(LineSeries::new(curve, MEASURED_COLOR.stroke_width(2)))?;
    Ok(())
}

/// Number of ticks to request so that each decade gets nine.
fn tick_count(scale: &Range<f64>) -> usize {
    let decades = (scale.end / scale.start).log10().floor().max(1.0);
    (decades * TICKS_PER_DECADE) as usize
}

/// Start of a scale that includes a value: slightly less than the next lower power of ten.
fn scale_start(value: f64) -> f64 {
    10f64.powf(value.log10().floor()) * SCALE_START_FACTOR
}

/// Label of a tick of the burn scale, for powers of ten only.
///
/// The lowest tick is labelled "≤", since lower values are clamped to it.
fn burn_tick_label(value: f64) -> String {
    let text = match leading_digit(value) {
        1 => trim_number(value),
        _ => return String::new(),
    };
    if value < BURN_SCALE_MIN * TOP_MARGIN_FACTOR {
        return format!("\u{2264} {text}");
    }
    text
}

/// Label of a tick of the latency scale: three of nine per decade, as more would not fit.
fn latency_tick_label(value: f64) -> String {
    match leading_digit(value) {
        1 | 2 | 5 => trim_number(value),
        _ => String::new(),
    }
}

/// First digit of a tick's value; the other digits are zeros.
fn leading_digit(value: f64) -> u32 {
    // Tick values are computed from sums and powers: rounding can turn 10 into 9.999….
    let decade = 10f64.powf((value.log10() + 1e-6).floor());
    (value / decade).round() as u32
}

/// Formats a number with up to two decimal places, without trailing zeros.
fn trim_number(value: f64) -> String {
    let text = format!("{value:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Number of nines of a percentile, a scale on which each further nine takes the same space.
fn nines(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).log10()
}

fn percentile_tick_label(nines: f64) -> String {
    trim_number(100.0 * (1.0 - 10f64.powf(-nines)))
}
