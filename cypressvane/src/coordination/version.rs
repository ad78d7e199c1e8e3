//! Which software versions of a service's backend servers a request may run on.

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// Restriction of a request to some versions of its service's backend servers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Constraint {
    /// Any version except one that is being tried in a roll-out.
    #[default]
    #[serde(rename = "a")]
    Any,
    /// Only this version; `None` is for servers that state no version.
    #[serde(rename = "o")]
    Only(Option<Name>),
    /// Any version but this one, which is being tried in a roll-out or was rolled back.
    #[serde(rename = "e")]
    Except(Name),
}

impl Constraint {
    /// Returns whether a request may run on a server of this version. If `is_tried`, the server gets only requests
    /// that name its version.
    #[must_use]
    pub fn allows(&self, version: Option<&Name>, is_tried: bool) -> bool {
        match self {
            Self::Any => !is_tried,
            Self::Only(only) => only.as_ref() == version,
            Self::Except(excluded) => !is_tried && version != Some(excluded),
        }
    }

    /// Returns the version for logs and messages; `None` if any may be used.
    pub(crate) fn text(&self) -> Option<String> {
        match self {
            Self::Any => None,
            Self::Only(Some(version)) => Some(format!("version {version}")),
            Self::Only(None) => Some("no stated version".to_owned()),
            Self::Except(version) => Some(format!("another version than {version}")),
        }
    }
}
