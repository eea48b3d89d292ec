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
/// Space on the right for half of the last label.
const RIGHT_MARGIN: u32 = 24;
/// Room below a plot for its scale and what the scale is of.
const X_AREA: u32 = 36;
/// Room beside it for the same.
const Y_AREA: u32 = 62;
/// Part of the least value that a scale begins at, lest rounding hides the mark there.
const JUST_BELOW: f64 = 0.999;
/// Font of all that is written into a plot, with its size.
const FONT: (&str, u32) = ("sans-serif", 12);
/// From the left end of a line to the text above it, in pixels.
const LABEL_OFFSET: (i32, i32) = (4, -14);
/// Marks to ask for in each decade, of which some are labelled; nine are given.
const MARKS_OF_DECADE: f64 = 12.0;
/// Room above the highest value, as a factor.
const HEADROOM: f64 = 1.6;
/// Lines of the grid.
const GRID: RGBColor = RGBColor(230, 230, 230);
/// What happened.
const MEASURED: RGBColor = BLUE;
/// What is sustainable.
const CALM: RGBColor = RGBColor(0, 130, 0);
/// What is worth a look.
const WORRY: RGBColor = RGBColor(205, 110, 0);
/// What must not be reached.
const ALARM: RGBColor = RGBColor(200, 0, 0);
/// Least top of the scale of burn.
const BURN_TOP: f64 = 20.0;
/// Largest burn that is plotted; higher ones end at the top.
const BURN_MAX: f64 = 1000.0;
/// Burn that uses the budget up exactly in time.
const SUSTAINABLE: f64 = 1.0;
/// Least that is told apart on the scale of burn, which is logarithmic; less is shown as this.
const BURN_LEAST: f64 = 0.01;
/// Least of the scale of latency, in milliseconds.
const LATENCY_LEAST_MS: f64 = 0.01;
/// End of the scale of percentiles: four nines.
const NINES: f64 = 4.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, LogCoord<f64>>>;
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
        .margin(8)
        .margin_right(RIGHT_MARGIN)
        .x_label_area_size(X_AREA)
        .y_label_area_size(Y_AREA)
        .build_cartesian_2d(
            -minutes..0.0,
            (BURN_LEAST * JUST_BELOW..highest * HEADROOM).log_scale(),
        )?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(GRID)
        .label_style(FONT)
        .x_desc("minutes ago")
        .y_desc("burn by minute")
        .x_label_formatter(&|x| format!("{:.0}", x.abs()))
        .y_label_formatter(&|y| decade_label(*y))
        .draw()?;
    for (level, what, color) in [
        (SUSTAINABLE, "1: the budget lasts just long enough", CALM),
        (SLOW_BURN, "6: slow alert", WORRY),
        (FAST_BURN, "14.4: fast alert", ALARM),
    ] {
        draw_level(&mut chart, level, what, color)?;
    }
    let stretches = stretches(&class.minutes);
    if stretches.is_empty() {
        let nothing = "no requests in the last hour";
        draw_label(&mut chart, BURN_LEAST, nothing, MEASURED)?;
    }
    for stretch in stretches {
        let points = stretch
            .iter()
            .map(|(x, y)| (*x, y.clamp(BURN_LEAST, highest)));
        let points: Vec<(f64, f64)> = points.collect();
        let dots = points
            .iter()
            .map(|at| Circle::new(*at, 2, MEASURED.filled()));
        chart.draw_series(dots)?;
        chart.draw_series(LineSeries::new(points, MEASURED.stroke_width(2)))?;
    }
    Ok(())
}

/// Draws a line across the plot at a level, and what it means above its left end.
fn draw_level(
    chart: &mut Chart<'_, '_>,
    level: f64,
    what: &str,
    color: RGBColor,
) -> Result<(), DrawError> {
    let across = chart.x_range();
    let line = [(across.start, level), (across.end, level)];
    chart.draw_series(LineSeries::new(line, color.stroke_width(1)))?;
    draw_label(chart, level, what, color)
}

/// Writes something above a level, at the left end.
fn draw_label(
    chart: &mut Chart<'_, '_>,
    level: f64,
    what: &str,
    color: RGBColor,
) -> Result<(), DrawError> {
    let at = (chart.x_range().start, level);
    let style = FONT.into_font().color(&color);
    let text = Text::new(what.to_owned(), LABEL_OFFSET, style);
    chart.draw_series([EmptyElement::at(at) + text])?;
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
    let curve = class.latency.curve.iter().map(|(percentile, us)| {
        let latency_ms = (*us as f64 / 1000.0).max(LATENCY_LEAST_MS);
        (nines(*percentile), latency_ms)
    });
    // What is beyond the scale, such as the longest of all, would stand at its end as a spike.
    let curve: Vec<(f64, f64)> = curve.filter(|(nines, _)| *nines <= NINES).collect();
    let values = || curve.iter().map(|(_, ms)| *ms).chain([target_ms]);
    let least = values().fold(f64::MAX, f64::min).max(LATENCY_LEAST_MS);
    let highest = values().fold(LATENCY_LEAST_MS, f64::max) * HEADROOM;
    let scale = decade_below(least)..highest;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .margin_right(RIGHT_MARGIN)
        .x_label_area_size(X_AREA)
        .y_label_area_size(Y_AREA)
        .build_cartesian_2d(0.0..NINES, scale.clone().log_scale())?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(GRID)
        .label_style(FONT)
        .x_labels(5)
        .y_labels(marks(&scale))
        .x_desc("percentile of whole answers since each daemon's start")
        .y_desc("latency, ms")
        .x_label_formatter(&|x| percentile_label(*x))
        .y_label_formatter(&|y| sparse_label(*y))
        .draw()?;
    let target = format!("target: {target_ms} ms");
    draw_level(&mut chart, target_ms, &target, ALARM)?;
    if curve.is_empty() {
        let bottom = chart.y_range().start;
        draw_label(&mut chart, bottom, "no whole answers yet", MEASURED)?;
    }
    chart.draw_series(LineSeries::new(curve, MEASURED.stroke_width(2)))?;
    Ok(())
}

/// Marks to ask for, so that each decade has nine.
fn marks(scale: &Range<f64>) -> usize {
    let decades = (scale.end / scale.start).log10().floor().max(1.0);
    (decades * MARKS_OF_DECADE) as usize
}

/// Just below the power of ten at or below a value.
fn decade_below(value: f64) -> f64 {
    10f64.powf(value.log10().floor()) * JUST_BELOW
}

/// A mark's label if it is a power of ten; the least stands for all below it, too.
fn decade_label(value: f64) -> String {
    let text = match leading_digit(value) {
        1 => plain(value),
        _ => return String::new(),
    };
    if value < BURN_LEAST * HEADROOM {
        return format!("\u{2264} {text}");
    }
    text
}

/// A mark's label, of nine marks in a decade for three: more would not fit.
fn sparse_label(value: f64) -> String {
    match leading_digit(value) {
        1 | 2 | 5 => plain(value),
        _ => String::new(),
    }
}

/// First digit of a mark, which has only one.
fn leading_digit(value: f64) -> u32 {
    // Marks are sums and powers, so that a ten may come as 9.999….
    let decade = 10f64.powf((value.log10() + 1e-6).floor());
    (value / decade).round() as u32
}

/// A number without needless digits.
fn plain(value: f64) -> String {
    let text = format!("{value:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}

/// Place of a percentile on a scale that gives each further nine the same room.
fn nines(percentile: f64) -> f64 {
    -(1.0 - percentile / 100.0).log10()
}

fn percentile_label(nines: f64) -> String {
    plain(100.0 * (1.0 - 10f64.powf(-nines)))
}
