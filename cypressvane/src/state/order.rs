//! Orders to backend servers, and the row that keeps them apart.

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// What is loaded or unloaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model.
    Model,
    /// An adapter of a model.
    Adapter,
    /// A version of a model.
    Version,
}

/// An order to a backend server; carrying one out twice changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Order {
    /// Load something.
    Load {
        /// What it is.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// Unload something.
    Unload {
        /// What it is.
        kind: Kind,
        /// Its name.
        name: String,
    },
    /// Take a role, such as prefill or decode.
    Role {
        /// The role.
        name: String,
    },
}

/// An order with the number that makes it the newest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Numbered {
    /// The fencing number; a server that checks it refuses one lower than it has seen.
    pub number: u64,
    /// The order.
    pub order: Order,
}

/// What a backend server says of the orders it carried out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The highest number it took; `None` where it keeps none.
    #[serde(default)]
    pub number: Option<u64>,
    /// What is loaded.
    #[serde(default)]
    pub loaded: Vec<Loaded>,
    /// Its role.
    #[serde(default)]
    pub role: Option<String>,
}

/// Something that a backend server has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// What it is.
    pub kind: Kind,
    /// Its name.
    pub name: String,
}

impl Report {
    /// Whether the server is as the order wants it.
    #[must_use]
    pub fn shows(&self, order: &Order) -> bool {
        let has = |kind: Kind, name: &str| {
            let mut loaded = self.loaded.iter();
            loaded.any(|loaded| loaded.kind == kind && loaded.name == name)
        };
        match order {
            Order::Load { kind, name } => has(*kind, name),
            Order::Unload { kind, name } => !has(*kind, name),
            Order::Role { name } => self.role.as_deref() == Some(name),
        }
    }

    /// Carries an order out.
    pub fn apply(&mut self, order: &Order) {
        match order {
            Order::Load { kind, name } if !self.shows(order) => {
                self.loaded.push(Loaded {
                    kind: *kind,
                    name: name.clone(),
                });
            }
            Order::Load { .. } => {}
            Order::Unload { kind, name } => {
                self.loaded
                    .retain(|loaded| loaded.kind != *kind || loaded.name != *name);
            }
            Order::Role { name } => self.role = Some(name.clone()),
        }
    }
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It may be on its way.
    Pending,
    /// The server showed that it was carried out.
    Done,
    /// It was refused, or the server did not show it.
    Failed,
}

/// The row of a backend server: its newest order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The newest number and order.
    pub newest: Numbered,
    /// How far it has come.
    pub stage: Stage,
    /// Unique for each order; tells an issuer that lost its answer whether it wrote the row.
    pub id: String,
    /// The operator.
    pub operator: String,
    /// The host that issues it.
    pub issuer: Name,
    /// When, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
}
