//! Draws a grouped bar chart from a CSV file of the `measure` example. Bars show medians, whiskers
//! the minimum and the maximum.
//!
//! Usage: `cargo run --example plot -- CSV VALUE X SERIES OUT.svg [COLUMN=TEXT|TEXT]...`
//!
//! The chart shows column VALUE by column X, with one bar per distinct value of column SERIES. A
//! filter accepts rows with one of the given texts in COLUMN. Only rows that all filters accept are
//! used.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::process::ExitCode;

const WIDTH: f64 = 900.0;
const HEIGHT: f64 = 360.0;
const LEFT: f64 = 60.0;
const TOP: f64 = 60.0;
const BOTTOM: f64 = 40.0;

const COLOURS: [&str; 8] = [
    "#1b6ca8", "#d1495b", "#edae49", "#66a182", "#8d6a9f", "#6b7a8f", "#c97b84", "#2e4057",
];

type Result<T, E = String> = std::result::Result<T, E>;

/// Median, minimum and maximum of one bar.
type Bar = (f64, f64, f64);

struct Chart {
    value: String,
    x_values: Vec<String>,
    series: Vec<String>,
    bars: HashMap<(String, String), Bar>,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [csv, value, x, series, out, filters @ ..] = args.as_slice() else {
        eprintln!("usage: plot CSV VALUE X SERIES OUT.svg [COLUMN=TEXT|TEXT]...");
        return ExitCode::FAILURE;
    };
    let result = fs::read_to_string(csv)
        .map_err(|error| format!("{csv}: {error}"))
        .and_then(|text| read_chart(&text, value, x, series, filters))
        .and_then(|chart| {
            fs::write(out, draw_chart(&chart)).map_err(|error| format!("{out}: {error}"))
        });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn read_chart(text: &str, value: &str, x: &str, series: &str, filters: &[String]) -> Result<Chart> {
    let mut lines = text.lines();
    let header: Vec<&str> = lines.next().unwrap_or_default().split(',').collect();
    let column = |name: &str| {
        let position = header.iter().position(|column| *column == name);
        position.ok_or_else(|| format!("no column `{name}`"))
    };
    let (value_column, x_column, series_column) = (column(value)?, column(x)?, column(series)?);
    let mut allowed = Vec::new();
    for filter in filters {
        let (name, texts) = filter
            .split_once('=')
            .ok_or("invalid filter, expected COLUMN=TEXT")?;
        allowed.push((column(name)?, texts.split('|').collect::<Vec<_>>()));
    }
    let mut chart = Chart {
        value: value.to_owned(),
        x_values: Vec::new(),
        series: Vec::new(),
        bars: HashMap::new(),
    };
    let mut values: HashMap<(String, String), Vec<f64>> = HashMap::new();
    for line in lines {
        let row: Vec<&str> = line.split(',').collect();
        if !allowed
            .iter()
            .all(|(index, texts)| texts.contains(&row[*index]))
        {
            continue;
        }
        let key = (row[x_column].to_owned(), row[series_column].to_owned());
        push_distinct(&mut chart.x_values, &key.0);
        push_distinct(&mut chart.series, &key.1);
        let number: f64 = row[value_column]
            .parse()
            .map_err(|_| "invalid number in the value column")?;
        values.entry(key).or_default().push(number);
    }
    chart.bars = values
        .into_iter()
        .map(|(key, samples)| (key, make_bar(samples)))
        .collect();
    Ok(chart)
}

fn push_distinct(texts: &mut Vec<String>, text: &str) {
    if !texts.iter().any(|other| other == text) {
        texts.push(text.to_owned());
    }
}

fn make_bar(mut values: Vec<f64>) -> Bar {
    values.sort_by(f64::total_cmp);
    let last = values.len() - 1;
    let median = (values[last / 2] + values[values.len() / 2]) / 2.0;
    (median, values[0], values[last])
}

fn draw_chart(chart: &Chart) -> String {
    let maxima = chart
        .bars
        .values()
        .map(|bar| bar.2)
        .filter(|v| v.is_finite());
    let max_value = maxima.fold(0.0, f64::max).max(f64::MIN_POSITIVE);
    let plot_height = HEIGHT - TOP - BOTTOM;
    let y = |value: f64| TOP + plot_height * (1.0 - value / max_value);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{LEFT}\" y=\"16\" font-size=\"13\">{}</text>\n",
        chart.value
    );
    for step in 0..=4 {
        let value = max_value * f64::from(step) / 4.0;
        let line_y = y(value);
        let _ = writeln!(
            svg,
            "<line x1=\"{LEFT}\" x2=\"{WIDTH}\" y1=\"{line_y:.1}\" y2=\"{line_y:.1}\" stroke=\"#ddd\"/>\
             <text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"end\">{value:.3}</text>",
            LEFT - 6.0,
            line_y + 4.0
        );
    }
    let group_width = (WIDTH - LEFT) / chart.x_values.len().max(1) as f64;
    let width = 0.85 * group_width / chart.series.len().max(1) as f64;
    for (g, x) in chart.x_values.iter().enumerate() {
        let group_left = LEFT + group_width * g as f64;
        let _ = writeln!(
            svg,
            "<text x=\"{:.1}\" y=\"{:.1}\" text-anchor=\"middle\">{x}</text>",
            group_left + group_width / 2.0,
            HEIGHT - BOTTOM + 18.0
        );
        for (s, series) in chart.series.iter().enumerate() {
            let key = (x.clone(), series.clone());
            if let Some(bar) = chart.bars.get(&key).filter(|bar| bar.0.is_finite()) {
                let left = group_left + group_width * 0.075 + width * s as f64;
                draw_bar(&mut svg, left, width, *bar, COLOURS[s % COLOURS.len()], &y);
            }
        }
    }
    draw_legend(&mut svg, &chart.series);
    svg.push_str("</svg>\n");
    svg
}

fn draw_bar(
    svg: &mut String,
    left: f64,
    width: f64,
    (median, min, max): Bar,
    colour: &str,
    y: &impl Fn(f64) -> f64,
) {
    let (top, height) = (y(median), y(0.0) - y(median));
    let (middle, bar_width) = (left + width * 0.45, width * 0.9);
    let _ = writeln!(
        svg,
        "<rect x=\"{left:.1}\" y=\"{top:.1}\" width=\"{bar_width:.1}\" height=\"{height:.1}\" \
         fill=\"{colour}\"/><line x1=\"{middle:.1}\" x2=\"{middle:.1}\" y1=\"{:.1}\" \
         y2=\"{:.1}\" stroke=\"black\"/>",
        y(min),
        y(max),
    );
}

fn draw_legend(svg: &mut String, series: &[String]) {
    let step = (WIDTH - LEFT) / series.len().max(1) as f64;
    for (s, name) in series.iter().enumerate() {
        let x = LEFT + step * s as f64;
        let colour = COLOURS[s % COLOURS.len()];
        let _ = writeln!(
            svg,
            "<rect x=\"{x:.1}\" y=\"26\" width=\"10\" height=\"10\" fill=\"{colour}\"/>\
             <text x=\"{:.1}\" y=\"35\" font-size=\"10\">{name}</text>",
            x + 14.0
        );
    }
}
