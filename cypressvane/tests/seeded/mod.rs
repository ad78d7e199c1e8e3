//! Property tests with a fixed seed, so that each run generates the same cases.

use std::env;

use quickcheck::{Gen, QuickCheck};

/// Environment variable that overrides the seed of a manual run.
const SEED_VARIABLE: &str = "CYPRESSVANE_PROPERTY_SEED";
/// Seed where the variable is not set.
const DEFAULT_SEED: u64 = 1;
/// Upper bound on the size of generated values; equals the default of quickcheck.
const GENERATED_SIZE: usize = 100;

/// Returns a checker that generates its cases from the seed of this run.
pub fn quickcheck() -> QuickCheck {
    let seed_override = env::var(SEED_VARIABLE).ok();
    let seed = seed_override.map_or(DEFAULT_SEED, |text| {
        text.parse().expect("the seed must be an unsigned integer")
    });
    QuickCheck::new().rng(Gen::from_size_and_seed(GENERATED_SIZE, seed))
}
