//! Orders to backend servers, and the table row that stores the newest order of each server.

use serde::{Deserialize, Serialize};

use crate::state::name::Name;

/// Kind of object that an order loads or unloads.
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

/// An order to a backend server; executing it is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum Order {
    /// Loads a model, adapter or version.
    Load {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
    },
    /// Unloads a model, adapter or version.
    Unload {
        /// Kind of the object.
        kind: Kind,
        /// Name of the object.
        name: String,
    },
    /// Assigns a role, such as prefill or decode.
    Role {
        /// Name of the role.
        name: String,
    },
}

/// An order with its fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencedOrder {
    /// Fencing number; a server that checks it refuses numbers lower than the highest it has received.
    pub number: u64,
    /// The order.
    pub order: Order,
}

/// State that a backend server reports after executing orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Highest fencing number it has accepted; `None` if it does not track them.
    #[serde(default)]
    pub number: Option<u64>,
    /// Loaded objects.
    #[serde(default)]
    pub loaded: Vec<Loaded>,
    /// Current role.
    #[serde(default)]
    pub role: Option<String>,
}

/// An object that a backend server has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// Kind of the object.
    pub kind: Kind,
    /// Name of the object.
    pub name: String,
}

impl Report {
    /// Returns whether the reported state satisfies the order.
    #[must_use]
    pub fn satisfies(&self, order: &Order) -> bool {
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

    /// Applies an order to this state.
    pub fn apply(&mut self, order: &Order) {
        match order {
            Order::Load { kind, name } if !self.satisfies(order) => {
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

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The order may still be in transit.
    Pending,
    /// The server's report confirms the order.
    Done,
    /// The server refused the order or its report does not confirm it.
    Failed,
}

/// Table row of a backend server with its newest order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRow {
    /// Newest order with its fencing number.
    pub newest: FencedOrder,
    /// Progress of the order.
    pub stage: Stage,
    /// Unique for each order; lets an issuer that received no answer to its write detect whether the write succeeded.
    pub id: String,
    /// Operator who gave the order.
    pub operator: String,
    /// Host that issues the order.
    pub issuer: Name,
    /// Time of issue, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
}
