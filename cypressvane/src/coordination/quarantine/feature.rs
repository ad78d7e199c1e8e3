//! What requests have in common, by which the harmful ones among them are recognised.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

/// Most parts of a prompt that are features; later parts are not looked at.
const PARTS_MAX: usize = 64;
/// Number of characters of a part that operators are shown.
const PART_CHARS_MAX: usize = 64;

/// The features of a request, from the narrowest to the widest.
pub(crate) type Features = Arc<[Feature]>;

/// Something that a request may share with others, and that may be kept from the servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Feature {
    pub(crate) fingerprint: Fingerprint,
    /// The beginning of the prompt's part; `None` if the feature is the whole request.
    pub(crate) part: Option<Name>,
}

impl Feature {
    fn part(id: &str) -> Self {
        Self {
            fingerprint: Fingerprint::of_part(id),
            part: Some(id.chars().take(PART_CHARS_MAX).collect::<String>().into()),
        }
    }
}

/// Returns the features of a request: the request itself, and the parts of its prompt but for the last, which is its own.
///
/// Later parts come first, since a prompt's beginning is shared by more requests than what follows.
pub(crate) fn of_request(request: Fingerprint, prompt: Option<&str>) -> Features {
    let mut features = vec![Feature {
        fingerprint: request,
        part: None,
    }];
    for id in shared_parts(prompt.unwrap_or_default()).take(PARTS_MAX) {
        let part = Feature::part(id);
        if !features.contains(&part) {
            features.push(part);
        }
    }
    features[1..].reverse();
    features.into()
}

/// The identifiers of a prompt's parts, but for the last one. Each part is its identifier and its length in tokens.
fn shared_parts(prompt: &str) -> impl Iterator<Item = &str> {
    let shared = prompt.rsplit_once(',').map_or("", |(shared, _)| shared);
    let identifiers = shared.split(',').map(|part| {
        let identifier = part
            .split_once(':')
            .map_or(part, |(identifier, _)| identifier);
        identifier.trim()
    });
    identifiers.filter(|identifier| !identifier.is_empty())
}
