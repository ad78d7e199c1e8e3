//! Draws the mean duration of each part up to the first answer, one bar per service.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::Profile;
use crate::error::Error;

/// Size of the chart, in pixels.
const SIZE: (u32, u32) = (960, 480);
/// Font height, in pixels.
const FONT_HEIGHT: u32 = 16;
/// Number of parts up to the first answer. The last part is left out, since it depends on the length
/// of the answer.
const SHOWN_PARTS: usize = 4;
/// Colours of the parts, in order.
const COLOURS: [RGBColor; SHOWN_PARTS] = [
    RGBColor(120, 120, 120),
    RGBColor(214, 120, 30),
    RGBColor(60, 150, 90),
    RGBColor(50, 100, 180),
];

/// Draws the profiles into an SVG file.
pub fn draw(path: &Path, profiles: &BTreeMap<String, Profile>) -> Result<(), Error> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    paint(&area, profiles).map_err(|error| Error::Document {
        path: path.to_owned(),
        cause: error.to_string(),
    })
}

fn paint<B: DrawingBackend>(
    area: &DrawingArea<B, Shift>,
    profiles: &BTreeMap<String, Profile>,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    area.fill(&WHITE)?;
    let total = |profile: &Profile| -> f64 { shown_parts(profile).map(|(mean, _)| mean).sum() };
    let longest = profiles.values().map(total).fold(1.0, f64::max);
    let services: Vec<&String> = profiles.keys().collect();
    let mut chart = ChartBuilder::on(area)
        .caption(
            "mean time to the first answer, in ms",
            ("sans-serif", FONT_HEIGHT),
        )
        .margin(FONT_HEIGHT)
        .x_label_area_size(2 * FONT_HEIGHT)
        .y_label_area_size(8 * FONT_HEIGHT)
        .build_cartesian_2d(0.0..longest, (0..services.len()).into_segmented())?;
    let name = |segment: &SegmentValue<usize>| match segment {
        SegmentValue::CenterOf(index) => services.get(*index).map_or("", |name| name).to_owned(),
        SegmentValue::Exact(_) | SegmentValue::Last => String::new(),
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_label_formatter(&name)
        .draw()?;
    for (index, (name, colour)) in names_and_colours().enumerate() {
        let bars = profiles.values().enumerate().map(|(row, profile)| {
            let before: f64 = shown_parts(profile).take(index).map(|(mean, _)| mean).sum();
            let mean = profile.parts[index].mean;
            let (top, bottom) = (SegmentValue::Exact(row), SegmentValue::Exact(row + 1));
            let mut bar = Rectangle::new([(before, top), (before + mean, bottom)], colour.filled());
            bar.set_margin(FONT_HEIGHT, FONT_HEIGHT, 0, 0);
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

/// Returns the mean and the name of each part up to the first answer.
fn shown_parts(profile: &Profile) -> impl Iterator<Item = (f64, &'static str)> {
    let parts = profile.parts.iter().take(SHOWN_PARTS);
    parts.map(|part| (part.mean, part.name))
}

/// Returns the name and the colour of each part up to the first answer.
fn names_and_colours() -> impl Iterator<Item = (&'static str, RGBColor)> {
    super::PARTS.iter().map(|(name, _)| *name).zip(COLOURS)
}
