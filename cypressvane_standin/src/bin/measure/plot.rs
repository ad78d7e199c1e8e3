//! Goodput by tier against offered load, as an SVG picture.

use std::fmt::Write as _;

/// Size of the picture.
const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 420.0;
/// Room around the axes.
const MARGIN: f64 = 50.0;
/// Loads at the ends of the axis.
const LOADS: (f64, f64) = (0.5, 2.0);
/// Colours by tier, and dashes by way.
const COLOURS: [&str; 5] = ["#b2182b", "#ef8a62", "#2166ac", "#67a9cf", "#777777"];
const DASHES: [&str; 4] = ["none", "8 4", "3 3", "1 4"];

/// A line of the picture.
#[derive(Clone, Debug)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Index of the tier.
    pub tier: usize,
    /// Index of the way.
    pub way: usize,
    /// Load and goodput.
    pub points: Vec<(f64, f64)>,
}

fn place(load: f64, goodput: f64) -> (f64, f64) {
    let across = (load - LOADS.0) / (LOADS.1 - LOADS.0);
    let x = MARGIN + across * (WIDTH - 4.0 * MARGIN);
    (x, HEIGHT - MARGIN - goodput * (HEIGHT - 2.0 * MARGIN))
}

/// Draws the lines; writing to a string cannot fail.
pub fn draw(title: &str, lines: &[Line]) -> String {
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\
         <text x=\"{MARGIN}\" y=\"25\" font-size=\"14\">{title}</text>"
    );
    for step in 0..=5 {
        let goodput = f64::from(step) / 5.0;
        let (left, y) = place(LOADS.0, goodput);
        let (right, _) = place(LOADS.1, goodput);
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
        let (x, y) = place(load, 0.0);
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
            .map(|(load, goodput)| place(*load, *goodput))
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
