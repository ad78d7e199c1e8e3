//! Messages to all hosts of a region, passed on from neighbour to neighbour.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use super::Links;
use super::link::Link;
use crate::protocol::message::{Breadth, Message};
use crate::state::clock::Instant;
use crate::state::name::Name;
use crate::state::rollout::Order;
use crate::transport::runtime::lock;

/// Number of relayed messages that are remembered: more than travel at the same time.
const REMEMBERED_MAX: usize = 4_096;
/// Neighbours in the host's own data centre that get a message of `Breadth::Few`.
const FEW_LOCAL: usize = 2;
/// Neighbours elsewhere that get it.
const FEW_REMOTE: usize = 1;

/// The relayed messages that a host has handled.
#[derive(Debug, Default)]
pub(super) struct Relays {
    known: HashSet<u64>,
    /// Oldest first.
    order: VecDeque<u64>,
}

impl Relays {
    /// Remembers a message; returns whether it is new.
    fn insert(&mut self, id: u64) -> bool {
        if !self.known.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > REMEMBERED_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }
}

impl Links {
    /// Sends a message to every other host of the region.
    pub(crate) fn broadcast(self: &Arc<Self>, message: &Message, breadth: Breadth) {
        if self.is_mesh() {
            for name in self.peers.load().keys() {
                self.send(name, message.clone());
            }
            return;
        }
        let relayed = Message::Relayed {
            id: fastrand::u64(..),
            breadth,
            message: Box::new(message.clone()),
        };
        self.relay(&relayed, None);
    }

    /// Whether messages to all hosts are passed on by neighbours, because not all hosts are neighbours.
    pub(crate) fn relays(&self) -> bool {
        self.has_host_list() && !self.is_mesh()
    }

    /// Sends an operators' order that this host has read to hosts that do not read it themselves.
    pub(crate) fn relay_order(self: &Arc<Self>, order: Order) {
        if self.relays() {
            self.broadcast(&Message::Ordered(order), Breadth::All);
        }
    }

    /// Passes a relayed message on to the neighbours, once; returns whether it is new, so that this host handles it.
    pub(crate) fn relay(self: &Arc<Self>, relayed: &Message, from: Option<&Name>) -> bool {
        let Message::Relayed { id, breadth, .. } = relayed else {
            return false;
        };
        if !lock(&self.relays).insert(*id) {
            return false;
        }
        let now = Instant::now();
        let links = self.peers.load();
        let neighbours = links.values().filter(|link| {
            from != Some(&link.name) && self.is_standing(link, now) && link.is_connected()
        });
        let mut neighbours: Vec<&Arc<Link>> = neighbours.collect();
        if *breadth == Breadth::Few {
            neighbours = self.choose_few(neighbours);
        }
        for link in neighbours {
            self.send(&link.name, relayed.clone());
        }
        true
    }

    /// Chooses some neighbours at random, most of them near: traffic between data centres is limited.
    fn choose_few<'a>(&self, mut neighbours: Vec<&'a Arc<Link>>) -> Vec<&'a Arc<Link>> {
        fastrand::shuffle(&mut neighbours);
        let (near, far): (Vec<_>, Vec<_>) = neighbours
            .into_iter()
            .partition(|link| link.data_centre == self.me.data_centre);
        let far = far.into_iter().take(FEW_REMOTE);
        near.into_iter().take(FEW_LOCAL).chain(far).collect()
    }
}
