//! Plots columns of a CSV file as an SVG, each with a line fitted by least squares.
//!
//! Each fit is printed as `column,points,slope,intercept,worst_residual,value_at_limit`. The value
//! at the limit is extrapolated if `--until` is beyond the measured points.

use std::fmt::Write;
use std::path::PathBuf;
use std::process::ExitCode;

/// Width of the picture in pixels.
const WIDTH: f64 = 760.0;

/// Height of the picture in pixels.
const HEIGHT: f64 = 420.0;

/// Margin around the plot area in pixels, for the axis labels and the legend.
const MARGIN: f64 = 60.0;

/// Number of tick intervals on each axis.
const TICKS: u32 = 6;

/// Colours of the columns, in order; reused after the last one.
const COLOURS: [&str; 4] = ["#0b62a4", "#c0392b", "#1e8449", "#7d3c98"];

/// Draws columns of a CSV file as an SVG.
#[derive(argh::FromArgs)]
struct Args {
    /// CSV file with a header line
    #[argh(option)]
    csv: PathBuf,
    /// column of the horizontal axis
    #[argh(option)]
    x: String,
    /// columns of the vertical axis, separated by commas
    #[argh(option)]
    y: String,
    /// only rows with this value, as COLUMN=VALUE; may be repeated
    #[argh(option)]
    rows: Vec<String>,
    /// title of the picture (default: the columns)
    #[argh(option)]
    title: Option<String>,
    /// value of x up to which the fitted lines are drawn
    #[argh(option)]
    until: f64,
    /// value of y that is drawn as a limit
    #[argh(option)]
    budget: Option<f64>,
    /// SVG file (default: only the fits are printed)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// Error of reading the CSV file or writing the SVG file.
#[derive(Debug, displaydoc::Display)]
enum Error {
    /// {0}: {1}
    Io(String, std::io::Error),
    /// no column {0}
    NoColumn(String),
    /// line {0}: {1} is not a number
    NotANumber(usize, String),
    /// {0} is not COLUMN=VALUE
    BadFilter(String),
    /// fewer than two different values of {0}
    TooFew(String),
}

type Result<T, E = Error> = std::result::Result<T, E>;

/// Straight line fitted to points.
#[derive(Debug, Clone, Copy)]
struct Fit {
    slope: f64,
    intercept: f64,
}

impl Fit {
    /// Fits a line by least squares. Returns `None` for fewer than two distinct values of x.
    fn least_squares(points: &[(f64, f64)]) -> Option<Self> {
        let n = points.len() as f64;
        let mean = |field: fn(&(f64, f64)) -> f64| points.iter().map(field).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let var: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let cov: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        (var > 0.0).then(|| Self {
            slope: cov / var,
            intercept: y - cov / var * x,
        })
    }

    fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }

    /// Returns the largest absolute residual.
    fn max_residual(&self, points: &[(f64, f64)]) -> f64 {
        let residuals = points.iter().map(|&(x, y)| (y - self.value_at(x)).abs());
        residuals.fold(0.0, f64::max)
    }
}

/// Points of a column and the line fitted to them.
struct Series {
    name: String,
    points: Vec<(f64, f64)>,
    fit: Fit,
}

fn main() -> ExitCode {
    match run(&argh::from_env()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("plot: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<()> {
    let path = args.csv.display().to_string();
    let text = std::fs::read_to_string(&args.csv).map_err(|e| Error::Io(path, e))?;
    let mut all_series = Vec::new();
    println!("column,points,slope,intercept,worst_residual,value_at_limit");
    for name in args.y.split(',') {
        let points = column_points(&text, &args.x, name, &args.rows)?;
        let fit = Fit::least_squares(&points).ok_or_else(|| Error::TooFew(args.x.clone()))?;
        println!(
            "{name},{},{:.6},{:.4},{:.4},{:.4}",
            points.len(),
            fit.slope,
            fit.intercept,
            fit.max_residual(&points),
            fit.value_at(args.until)
        );
        let name = name.to_owned();
        all_series.push(Series { name, points, fit });
    }
    let Some(out) = &args.out else { return Ok(()) };
    let svg = Plot::new(args, &all_series).render(args, &all_series);
    std::fs::write(out, svg).map_err(|e| Error::Io(out.display().to_string(), e))
}

/// Returns the values of two columns in the rows that match all filters.
fn column_points(text: &str, x: &str, y: &str, rows: &[String]) -> Result<Vec<(f64, f64)>> {
    let mut lines = text.lines();
    let header: Vec<&str> = lines.next().unwrap_or("").split(',').collect();
    let column_index = |name: &str| {
        let index = header.iter().position(|h| *h == name);
        index.ok_or_else(|| Error::NoColumn(name.to_owned()))
    };
    let (x, y) = (column_index(x)?, column_index(y)?);
    let mut filters = Vec::new();
    for row in rows {
        let parts = row.split_once('=');
        let (name, value) = parts.ok_or_else(|| Error::BadFilter(row.clone()))?;
        filters.push((column_index(name)?, value));
    }
    let mut points = Vec::new();
    for (index, line) in lines.enumerate() {
        let fields: Vec<&str> = line.split(',').collect();
        if filters.iter().all(|(i, v)| fields.get(*i) == Some(v)) {
            let number = |i: usize| {
                let field = fields.get(i).copied().unwrap_or("");
                let error = |_| Error::NotANumber(index + 2, field.to_owned());
                field.parse::<f64>().map_err(error)
            };
            points.push((number(x)?, number(y)?));
        }
    }
    Ok(points)
}

/// Plot area with the largest values of its axes, which start at 0.
struct Plot {
    x_max: f64,
    y_max: f64,
}

impl Plot {
    fn new(args: &Args, all_series: &[Series]) -> Self {
        let points = all_series.iter().flat_map(|s| &s.points);
        let fit_ends = all_series.iter().map(|s| s.fit.value_at(args.until));
        let y_values = points
            .clone()
            .map(|p| p.1)
            .chain(fit_ends)
            .chain(args.budget);
        let x_max = points.map(|p| p.0).fold(args.until, f64::max);
        Self {
            x_max: x_max.max(f64::MIN_POSITIVE),
            y_max: y_values.fold(f64::MIN_POSITIVE, f64::max) * 1.05,
        }
    }

    fn x_position(&self, value: f64) -> f64 {
        MARGIN + value / self.x_max * (WIDTH - 2.0 * MARGIN)
    }

    /// Returns the vertical position in pixels. Negative values are drawn on the axis.
    fn y_position(&self, value: f64) -> f64 {
        HEIGHT - MARGIN - value.max(0.0) / self.y_max * (HEIGHT - 2.0 * MARGIN)
    }

    fn render(&self, args: &Args, all_series: &[Series]) -> String {
        let mut svg = format!(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {WIDTH} {HEIGHT}\" \
             font-family=\"sans-serif\" font-size=\"12\">\n\
             <rect width=\"{WIDTH}\" height=\"{HEIGHT}\" fill=\"white\"/>\n"
        );
        let title = args.title.as_deref().unwrap_or(&args.y);
        draw_text(&mut svg, (WIDTH / 2.0, 20.0), "middle", "black", title);
        draw_text(
            &mut svg,
            (WIDTH / 2.0, HEIGHT - 10.0),
            "middle",
            "black",
            &args.x,
        );
        self.draw_axes(&mut svg);
        for (index, series) in all_series.iter().enumerate() {
            self.draw_series(&mut svg, index, series, args.until);
        }
        if let Some(budget) = args.budget {
            let ends = [(0.0, budget), (self.x_max, budget)];
            self.draw_line(&mut svg, ends, "black", "2 4");
            let position = (self.x_position(self.x_max), self.y_position(budget) - 4.0);
            draw_text(
                &mut svg,
                position,
                "end",
                "black",
                &format!("budget {budget}"),
            );
        }
        svg + "</svg>\n"
    }

    fn draw_axes(&self, svg: &mut String) {
        for tick in 0..=TICKS {
            let share = f64::from(tick) / f64::from(TICKS);
            let (x, y) = (self.x_max * share, self.y_max * share);
            self.draw_line(svg, [(0.0, y), (self.x_max, y)], "#dddddd", "none");
            let x_label = (self.x_position(x), HEIGHT - MARGIN + 16.0);
            draw_text(svg, x_label, "middle", "black", &format_number(x));
            let y_label = (MARGIN - 6.0, self.y_position(y) + 4.0);
            draw_text(svg, y_label, "end", "black", &format_number(y));
        }
    }

    fn draw_series(&self, svg: &mut String, index: usize, series: &Series, until: f64) {
        let colour = COLOURS[index % COLOURS.len()];
        let fit = series.fit;
        let ends = [(0.0, fit.value_at(0.0)), (until, fit.value_at(until))];
        self.draw_line(svg, ends, colour, "6 4");
        for &(x, y) in &series.points {
            let (x, y) = (self.x_position(x), self.y_position(y));
            let _ = writeln!(
                svg,
                "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"4\" fill=\"{colour}\"/>"
            );
        }
        let legend = (MARGIN + 10.0, MARGIN + 16.0 * index as f64 - 16.0);
        let content = format!(
            "{}: {} + {} x, {} at {}",
            series.name,
            format_number(fit.intercept),
            format_number(fit.slope),
            format_number(fit.value_at(until)),
            format_number(until)
        );
        draw_text(svg, legend, "start", colour, &content);
    }

    fn draw_line(&self, svg: &mut String, ends: [(f64, f64); 2], colour: &str, dashes: &str) {
        let [(x1, y1), (x2, y2)] = ends.map(|(x, y)| (self.x_position(x), self.y_position(y)));
        let _ = writeln!(
            svg,
            "<line x1=\"{x1:.1}\" y1=\"{y1:.1}\" x2=\"{x2:.1}\" y2=\"{y2:.1}\" \
             stroke=\"{colour}\" stroke-dasharray=\"{dashes}\"/>"
        );
    }
}

fn draw_text(svg: &mut String, (x, y): (f64, f64), anchor: &str, colour: &str, content: &str) {
    let content = content.replace('&', "&amp;").replace('<', "&lt;");
    let _ = writeln!(
        svg,
        "<text x=\"{x:.1}\" y=\"{y:.1}\" text-anchor=\"{anchor}\" fill=\"{colour}\">{content}</text>"
    );
}

/// Formats a number with fewer decimals the larger it is.
fn format_number(value: f64) -> String {
    match value.abs() {
        size if size == 0.0 || size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
