//! The report of a rehearsal: a self-contained HTML page with the verdict, the faults and SVG plots.

use minijinja::{Environment, context};
use plotters::prelude::*;

use crate::judge::Rule;
use crate::rehearsal::{Note, Outcome, Sample};
use crate::sizes::Sizes;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (920, 260);
/// Maximum number of tasks without a result that are listed by name.
const MAX_LISTED_LOST_TASKS: usize = 200;

/// The label, the colour and the points of a line in a plot.
type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// Why a report could not be rendered.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// The page's template failed.
    #[error("cannot render the page: {0}")]
    Page(#[from] minijinja::Error),
    /// A plot could not be drawn.
    #[error("cannot draw a plot: {0}")]
    Plot(String),
}

/// The points of a value of the samples over time.
fn over_time(samples: &[Sample], value: impl Fn(&Sample) -> f64) -> Vec<(f64, f64)> {
    samples.iter().map(|s| (s.at_s, value(s))).collect()
}

/// Plots lines over time as SVG, with a vertical mark for each fault.
fn plot(lines: &[Line], faults: &[Note], duration_s: f64) -> Result<String, ReportError> {
    let fail = |error: &dyn std::fmt::Display| ReportError::Plot(error.to_string());
    let max_value = lines.iter().flat_map(|(.., points)| points).map(|(_, y)| *y).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| fail(&e))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..duration_s.max(1.0), 0.0..max_value * 1.08)
            .map_err(|e| fail(&e))?;
        chart.configure_mesh().x_desc("s").light_line_style(WHITE).draw().map_err(|e| fail(&e))?;
        for Note { at_s, .. } in faults {
            let mark = [(*at_s, 0.0), (*at_s, max_value * 1.08)];
            chart.draw_series(LineSeries::new(mark, RGBColor(220, 150, 150))).map_err(|e| fail(&e))?;
        }
        for (name, colour, points) in lines {
            let colour = *colour;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour))
                .map_err(|e| fail(&e))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw().map_err(|e| fail(&e))?;
        area.present().map_err(|e| fail(&e))?;
    }
    Ok(svg)
}

/// All plots of the report, with their titles.
fn charts(sizes: &Sizes, outcome: &Outcome) -> Result<Vec<(&'static str, String)>, ReportError> {
    let s = &outcome.samples;
    let (blue, green, red, grey) =
        (RGBColor(30, 90, 200), RGBColor(30, 140, 70), RGBColor(200, 60, 30), RGBColor(120, 120, 120));
    let limit = |value: f64| vec![(0.0, value), (outcome.duration_s, value)];
    let rows: [(&str, Vec<Line>); 4] = [
        (
            "Tasks",
            vec![
                ("on machines", blue, over_time(s, |s| s.running as f64)),
                ("waiting", red, over_time(s, |s| s.waiting as f64)),
                ("done", green, over_time(s, |s| s.done as f64)),
            ],
        ),
        (
            "Machines",
            vec![
                ("up", green, over_time(s, |s| s.up as f64)),
                ("of these spot", blue, over_time(s, |s| s.spot as f64)),
                ("booting", grey, over_time(s, |s| s.booting as f64)),
            ],
        ),
        (
            "State service: requests and changes a second, with their limits",
            vec![
                ("requests", blue, over_time(s, |s| s.store_requests)),
                ("limit", grey, limit(sizes.state.requests_per_second)),
                ("changes", red, over_time(s, |s| s.store_changes)),
                ("limit", grey, limit(sizes.state.changes_per_second)),
            ],
        ),
        (
            "Cloud: requests a second, with their limit",
            vec![
                ("requests", blue, over_time(s, |s| s.cloud_calls)),
                ("limit", grey, limit(sizes.cloud.requests_per_second)),
            ],
        ),
    ];
    let duration_s = outcome.duration_s;
    rows.into_iter().map(|(title, lines)| Ok((title, plot(&lines, &outcome.faults, duration_s)?))).collect()
}

/// Renders the report as an HTML page.
pub fn page(title: &str, sizes: &Sizes, outcome: &Outcome) -> Result<String, ReportError> {
    let verdict = &outcome.verdict;
    let rules: Vec<_> = Rule::ALL
        .iter()
        .map(|rule| {
            let first = verdict.first_violation(*rule);
            context! {
                name => rule.name(),
                count => verdict.violations.iter().filter(|b| b.rule == *rule).count(),
                what => first.map_or(String::new(), |b| format!("{:.1} s: {}", b.at.as_secs_f64(), b.what)),
                history => first.map_or_else(Vec::new, |b| b.history.clone()),
            }
        })
        .collect();
    let quantile_ms = |q: f64| format!("{} ms", outcome.accepted_ms.value_at_quantile(q));
    let facts = [
        ("played", format!("{:.1} s", outcome.duration_s)),
        ("jobs, tasks with a result", format!("{}, {} of {}", outcome.jobs, verdict.delivered, verdict.expected)),
        (
            "submissions accepted after (p50, p95, p99)",
            [quantile_ms(0.5), quantile_ms(0.95), quantile_ms(0.99)].join(", "),
        ),
        ("controllers ended by themselves", outcome.unexpected_exits.to_string()),
        ("requests beyond the state service's limits", outcome.rate_limited_requests.to_string()),
        (
            "verbs of operators that failed",
            outcome.failed_commands.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "),
        ),
        ("money spent", format!("{:.3}", outcome.machine_cost)),
    ];
    let lost: Vec<String> =
        verdict.lost.iter().take(MAX_LISTED_LOST_TASKS).map(|t| format!("{}/{}", t.job, t.index)).collect();
    let faults: Vec<(String, &String)> =
        outcome.faults.iter().map(|note| (format!("{:.1}", note.at_s), &note.what)).collect();
    let mut environment = Environment::new();
    environment.add_template("report.html", include_str!("report.html"))?;
    let page = environment.get_template("report.html")?.render(context! {
        title, rules, facts, faults,
        clean => verdict.is_clean(),
        line => verdict.summary_line(),
        lost => lost.join(" "),
        charts => charts(sizes, outcome)?,
    })?;
    Ok(page)
}

#[cfg(test)]
mod tests;
