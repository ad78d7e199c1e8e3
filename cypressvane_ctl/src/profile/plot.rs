//! Draws the mean of each part of a request's way to its first answer, one bar a service.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::Way;
use crate::error::Error;

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Height of a letter, in pixels.
const LETTERS: u32 = 16;
/// The parts up to the first answer; what comes after it hangs on the answer's length.
const TO_FIRST_ANSWER: usize = 4;
/// Colours of the parts, in their order.
const COLOURS: [RGBColor; TO_FIRST_ANSWER] = [
    RGBColor(120, 120, 120),
    RGBColor(214, 120, 30),
    RGBColor(60, 150, 90),
    RGBColor(50, 100, 180),
];

/// Draws the ways into a file.
pub fn draw(path: &Path, ways: &BTreeMap<String, Way>) -> Result<(), Error> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    paint(&area, ways).map_err(|error| Error::Document {
        path: path.to_owned(),
        cause: error.to_string(),
    })
}

fn paint<B: DrawingBackend>(
    area: &DrawingArea<B, Shift>,
    ways: &BTreeMap<String, Way>,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    area.fill(&WHITE)?;
    let total = |way: &Way| -> f64 { shown(way).map(|(mean, _)| mean).sum() };
    let longest = ways.values().map(total).fold(1.0, f64::max);
    let services: Vec<&String> = ways.keys().collect();
    let mut chart = ChartBuilder::on(area)
        .caption(
            "mean time to the first answer, in ms",
            ("sans-serif", LETTERS),
        )
        .margin(LETTERS)
        .x_label_area_size(2 * LETTERS)
        .y_label_area_size(8 * LETTERS)
        .build_cartesian_2d(0.0..longest, (0..services.len()).into_segmented())?;
    let name = |place: &SegmentValue<usize>| match place {
        SegmentValue::CenterOf(index) => services.get(*index).map_or("", |name| name).to_owned(),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_label_formatter(&name)
        .draw()?;
    for (index, (name, colour)) in names().enumerate() {
        let bars = ways.values().enumerate().map(|(row, way)| {
            let before: f64 = shown(way).take(index).map(|(mean, _)| mean).sum();
            let mean = way.parts[index].mean;
            let (top, bottom) = (SegmentValue::Exact(row), SegmentValue::Exact(row + 1));
            let mut bar = Rectangle::new([(before, top), (before + mean, bottom)], colour.filled());
            bar.set_margin(LETTERS, LETTERS, 0, 0);
            bar
        });
        chart
            .draw_series(bars)?
            .label(name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.filled())
        .draw()?;
    area.present()
}

/// The means up to the first answer.
fn shown(way: &Way) -> impl Iterator<Item = (f64, &'static str)> {
    let parts = way.parts.iter().take(TO_FIRST_ANSWER);
    parts.map(|part| (part.mean, part.name))
}

/// The names of the parts with their colours.
fn names() -> impl Iterator<Item = (&'static str, RGBColor)> {
    super::PARTS.iter().map(|(name, _)| *name).zip(COLOURS)
}
