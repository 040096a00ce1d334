//! The report as a single HTML page that loads no other files.

use std::fmt::Write;

use derive_more::derive;
use marigoldloom_records::class;
use plotters::prelude::*;

use crate::report;

/// Width and height of a chart in pixels.
const CHART_SIZE: (u32, u32) = (900, 300);

const STYLE: &str = "body{font-family:sans-serif;margin:2em;max-width:60em}\
table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.2em .6em;text-align:right}\
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}";

/// A chart can't be drawn.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(derive::Display, derive::Error)]
#[display("the chart {title} can't be drawn: {reason}")]
pub struct DrawError {
    /// Title of the chart.
    pub title: &'static str,
    /// Error message of the drawing library.
    pub reason: String,
}

/// A chart of one value of the timeline, with a line for each class.
struct Chart {
    title: &'static str,
    y_max: f64,
    value: fn(&report::Point) -> Option<f64>,
}

/// Renders the report as an HTML page.
///
/// # Errors
///
/// [`DrawError`] if a chart can't be drawn.
pub fn render(report: &report::Report) -> Result<String, DrawError> {
    let y_max = |value: fn(&report::Point) -> Option<f64>| {
        let values = report.timeline.iter().filter_map(value);
        values.fold(1.0, f64::max) * 1.05
    };
    let charts = [
        Chart {
            title: "99th percentile of latency (ms)",
            y_max: y_max(|point| point.p99_ms),
            value: |point| point.p99_ms,
        },
        Chart {
            title: "Median latency (ms)",
            y_max: y_max(|point| point.p50_ms),
            value: |point| point.p50_ms,
        },
        Chart {
            title: "Coverage of answers",
            y_max: 1.05,
            value: |point| point.coverage,
        },
        Chart {
            title: "Complete answers per second",
            y_max: y_max(|point| Some(point.complete as f64)),
            value: |point| Some(point.complete as f64),
        },
    ];
    let title = escape(&report.name);
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>{title}</title><style>{STYLE}</style></head><body><h1>{title}</h1>"
    );
    page.push_str(&summary_table(report));
    page.push_str(&fault_list(report));
    for chart in charts {
        page.push_str(&draw(report, &chart)?);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn summary_table(report: &report::Report) -> String {
    let head = [
        "requests",
        "complete/s",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "max ms",
        "coverage",
    ];
    let mut text = "<table><tr><th></th>".to_owned();
    for name in head {
        text.push_str(&cell("th", name));
    }
    text.push_str("<th>outcomes</th></tr>");
    text.push_str(&row("all", &report.all));
    for group in &report.groups {
        text.push_str(&row(&label(group), &group.summary));
    }
    text.push_str("</table>");
    text
}

fn label(group: &report::GroupReport) -> String {
    format!("{}, {}", group.tenant, group.class)
}

fn row(name: &str, summary: &report::Summary) -> String {
    let number = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |v| format!("{v:.1}"));
    let coverage = summary
        .coverage
        .map_or_else(|| "-".to_owned(), |v| format!("{v:.4}"));
    let outcomes = summary.outcomes.iter();
    let outcomes = outcomes.map(|(outcome, count)| format!("{outcome:?} {count}"));
    let cells = [
        name.to_owned(),
        summary.total.to_string(),
        format!("{:.1}", summary.goodput),
        number(summary.p50_ms),
        number(summary.p99_ms),
        number(summary.p999_ms),
        number(summary.max_ms),
        coverage,
        outcomes.collect::<Vec<_>>().join(", "),
    ];
    let cells = cells.iter().map(|text| cell("td", text));
    format!("<tr>{}</tr>", cells.collect::<String>())
}

fn cell(tag: &str, text: &str) -> String {
    format!("<{tag}>{}</{tag}>", escape(text))
}

fn fault_list(report: &report::Report) -> String {
    let mut text = String::new();
    for fault in &report.faults {
        let failed = match fault.failed {
            0 => String::new(),
            count => format!(", failed on {count} stand-ins"),
        };
        // Writing to a string doesn't fail.
        let _ = write!(
            text,
            "<li>{:.1} s: {}{failed}</li>",
            fault.at,
            escape(&fault.name)
        );
    }
    match text.is_empty() {
        true => text,
        false => format!("<h2>Faults</h2><ul>{text}</ul>"),
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn draw(report: &report::Report, chart: &Chart) -> Result<String, DrawError> {
    let mut svg = String::new();
    draw_svg(report, chart, &mut svg).map_err(|error| DrawError {
        title: chart.title,
        reason: error.to_string(),
    })?;
    Ok(format!("<h2>{}</h2>{svg}", escape(chart.title)))
}

type PlotError<'a> = DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>;

fn draw_svg<'a>(
    report: &report::Report,
    chart: &Chart,
    svg: &'a mut String,
) -> Result<(), PlotError<'a>> {
    let area = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let length = report.seconds.max(1) as f64;
    let mut plot = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..length, 0.0..chart.y_max)?;
    plot.configure_mesh().x_desc("seconds").draw()?;
    for fault in &report.faults {
        let line = [(fault.at, 0.0), (fault.at, chart.y_max)];
        plot.draw_series(LineSeries::new(line, BLACK.mix(0.4)))?;
    }
    for class in class::Class::ALL {
        let points = report.timeline.iter().filter(|point| point.class == class);
        let points = points.filter_map(|p| Some((p.second as f64 + 0.5, (chart.value)(p)?)));
        let points = points.collect::<Vec<_>>();
        if points.is_empty() {
            continue;
        }
        let color = color(class);
        plot.draw_series(LineSeries::new(points, color))?
            .label(class.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], color));
    }
    plot.configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()
}

const fn color(class: class::Class) -> RGBColor {
    match class {
        class::Class::Interactive => RED,
        class::Class::Standard => BLUE,
        class::Class::Bulk => GREEN,
    }
}
