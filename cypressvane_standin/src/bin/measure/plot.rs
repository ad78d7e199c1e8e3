//! Plots goodput by tier against offered load as SVG.

use std::fmt::Write as _;

/// Width of the plot, in pixels.
const WIDTH: f64 = 720.0;
/// Height of the plot, in pixels.
const HEIGHT: f64 = 420.0;
/// Margin around the axes, in pixels.
const MARGIN: f64 = 50.0;
/// Range of the load axis.
const LOADS: (f64, f64) = (0.5, 2.0);
/// Line colours by tier.
const COLOURS: [&str; 5] = ["#b2182b", "#ef8a62", "#2166ac", "#67a9cf", "#777777"];
/// Dash patterns by way.
const DASHES: [&str; 4] = ["none", "8 4", "3 3", "1 4"];

/// A line of the plot.
#[derive(Clone, Debug)]
pub struct Line {
    /// The label.
    pub name: String,
    /// Index of the tier.
    pub tier: usize,
    /// Index of the way.
    pub way: usize,
    /// Pairs of load and goodput.
    pub points: Vec<(f64, f64)>,
}

/// Coordinates of a point, in pixels.
fn point_at(load: f64, goodput: f64) -> (f64, f64) {
    let fraction = (load - LOADS.0) / (LOADS.1 - LOADS.0);
    let x = MARGIN + fraction * (WIDTH - 4.0 * MARGIN);
    (x, HEIGHT - MARGIN - goodput * (HEIGHT - 2.0 * MARGIN))
}

/// Draws the lines; ignores errors of `write!`, since writing to a string cannot fail.
pub fn draw(title: &str, lines: &[Line]) -> String {
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\
         <text x=\"{MARGIN}\" y=\"25\" font-size=\"14\">{title}</text>"
    );
    for step in 0..=5 {
        let goodput = f64::from(step) / 5.0;
        let (left, y) = point_at(LOADS.0, goodput);
        let (right, _) = point_at(LOADS.1, goodput);
        let _ = write!(
            svg,
            "<line x1=\"{left}\" y1=\"{y}\" x2=\"{right}\" y2=\"{y}\" stroke=\"#dddddd\"/>\
             <text x=\"{}\" y=\"{}\">{goodput:.1}</text>",
            left - 25.0,
            y + 4.0
        );
    }
    for step in 0..=3 {
        let load = LOADS.0 + f64::from(step) * 0.5;
        let (x, y) = point_at(load, 0.0);
        let _ = write!(
            svg,
            "<text x=\"{}\" y=\"{}\">{load:.1}</text>",
            x - 8.0,
            y + 18.0
        );
    }
    for (index, line) in lines.iter().enumerate() {
        let points: Vec<String> = line
            .points
            .iter()
            .map(|(load, goodput)| point_at(*load, *goodput))
            .map(|(x, y)| format!("{x:.1},{y:.1}"))
            .collect();
        let colour = COLOURS[line.tier % COLOURS.len()];
        let dash = DASHES[line.way % DASHES.len()];
        let y = MARGIN + 15.0 * f64::from(u32::try_from(index).unwrap_or(0));
        let _ = write!(
            svg,
            "<polyline points=\"{}\" fill=\"none\" stroke=\"{colour}\" stroke-width=\"2\" \
             stroke-dasharray=\"{dash}\"/>\
             <text x=\"{}\" y=\"{y}\" fill=\"{colour}\">{}</text>",
            points.join(" "),
            WIDTH - 2.8 * MARGIN,
            line.name
        );
    }
    svg.push_str("</svg>\n");
    svg
}
