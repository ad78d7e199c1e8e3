//! Compares ways to dispatch requests to engines on the same schedule of arrivals.

#![warn(rust_2018_idioms, future_incompatible)]
#![deny(clippy::all, clippy::pedantic, missing_docs, unsafe_code)]

mod cli;
mod plot;
mod report;
mod run;
mod shape;
mod ways;

use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use cypressvane::runtime;
use gumdrop::Options as _;

use crate::cli::Options;
use crate::plot::Line;
use crate::report::Report;
use crate::run::Plan;
use crate::shape::Shape;

/// Number of worker threads of the load generator.
const THREADS: usize = 2;
/// Offered loads of a plot, as multiples of the capacity.
const PLOT_LOADS: [f64; 6] = [0.5, 0.8, 1.0, 1.3, 1.6, 2.0];

fn main() -> ExitCode {
    let options = Options::parse_args_default_or_exit();
    runtime::start(THREADS);
    match smol::block_on(measure(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("measure: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(options: &Options) -> io::Result<()> {
    let shape = Shape::load(&options.shape)?;
    println!(
        "{}: capacity {:.0} requests a second",
        shape.name,
        shape.capacity()
    );
    if let Some(path) = &options.plot {
        return plot(options, &shape, path).await;
    }
    let report = measure_load(options, &shape, options.load).await?;
    if options.json {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

/// Runs all chosen ways at one load, once for each seed.
async fn measure_load(options: &Options, shape: &Shape, load: f64) -> io::Result<Report> {
    let mut ways = Vec::new();
    for way in &options.way.0 {
        let mut outcomes = Vec::new();
        for seed in 0..options.seeds {
            let time = Duration::from_secs(options.seconds);
            let plan = Plan {
                shape,
                way: *way,
                seed,
                load,
                time,
                fault: options.fault,
            };
            outcomes.push(run::run(plan).await?);
        }
        let way = report::Way::new(way.name(), shape, &outcomes);
        way.print();
        ways.push(way);
    }
    Ok(Report {
        shape: shape.name.clone(),
        load,
        fault: options.fault.map(run::Fault::name),
        seeds: options.seeds,
        ways,
    })
}

/// Runs all chosen ways at several loads and writes a plot of their goodput by tier.
async fn plot(options: &Options, shape: &Shape, path: &Path) -> io::Result<()> {
    let mut lines: Vec<Line> = Vec::new();
    for load in PLOT_LOADS {
        println!("load {load}");
        let report = measure_load(options, shape, load).await?;
        for (way, values) in report.ways.iter().enumerate() {
            for (tier, (name, goodput)) in values.goodput_by_tier().into_iter().enumerate() {
                let name = format!("{name}, {}", options.way.0[way].name());
                let existing = lines.iter_mut().find(|line| line.name == name);
                match existing {
                    Some(line) => line.points.push((load, goodput)),
                    None => lines.push(Line {
                        name,
                        tier,
                        way,
                        points: vec![(load, goodput)],
                    }),
                }
            }
        }
    }
    fs::write(
        path,
        plot::draw(&format!("{}: goodput by tier and load", shape.name), &lines),
    )
}
