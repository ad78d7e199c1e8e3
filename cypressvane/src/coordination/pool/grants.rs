//! Granting: which waiting offer is granted next, and on which server.

use super::intake::refuse;
use super::{Granted, Pool};
use crate::coordination::admission::Kind;
use crate::coordination::demand::Demand;
use crate::coordination::offer::{Action, Offer, Ticket};
use crate::coordination::servers::Servers;
use crate::coordination::servers::placement::{Choice, Room, WINDOW_SHARE};
use crate::coordination::version::Constraint;
use crate::state::clock::Instant;
use crate::state::reason::Reason;

/// Share of a higher tier's window that lower tiers may fill while the higher tier has demand.
const LOWER_TIER_SHARE: f64 = 0.5;
/// Maximum number of offers examined for one grant: those behind them would not be granted before them anyway.
const OFFERS_EXAMINED_MAX: usize = 32;

impl Pool {
    /// Expires waiting offers, then grants the others in queue order while servers have room for them.
    pub(super) fn grant(&mut self, now: Instant) -> Vec<Action> {
        self.servers.wake(now);
        self.servers.admit_settling();
        let mut actions = self.expire(now);
        while let Some((ticket, choice)) = self.next_grant(now) {
            let is_too_late = |offer: &Offer| now + choice.first_token > offer.first_token_deadline;
            if self.queue.get(&ticket).is_some_and(is_too_late) {
                // The offer spent its time in the queue, even if its deadline is still a moment away.
                let offer = self.queue.remove(&ticket);
                actions.extend(offer.map(|offer| refuse(offer, Reason::deadline_passed())));
                continue;
            }
            let Some((offer, charge)) = self.queue.take_granted(&ticket, now) else {
                break;
            };
            let (server, work) = (choice.server, self.servers.work_of(&offer));
            let idle = self.servers.get(&server);
            let idle = idle.map(|server| server.first_token_when_idle(&work, now));
            let granted = self.servers.change(&server, |server| {
                server.send(ticket.clone(), work, now);
                server.record_opening(offer.opening, now);
                let limited = server.pacing.limit().is_some();
                (server.incarnation(), limited, server.version.clone())
            });
            let Some((incarnation, limited, version)) = granted else {
                break;
            };
            let granted = Granted {
                server: server.clone(),
                at: now,
                confirmed: now,
                first_token: choice.first_token,
                run_time: self.admission.run_time(Some(Kind::of(&offer))),
                idle: idle.filter(|_| offer.early),
                kind: Some(Kind::of(&offer)),
                charge,
            };
            self.granted.insert(ticket.clone(), granted);
            self.admission.note_grant(&offer, now);
            actions.push(Action::Grant {
                ticket,
                server,
                address: incarnation.address,
                first_token: choice.first_token,
                limited,
                started_ms: incarnation.started_ms,
                version,
            });
        }
        actions
    }

    /// The next offer to grant, and its server.
    ///
    /// An early-refusal offer is skipped while no server suits it, and so is one whose versions have no open server.
    /// Any other offer blocks those behind it until a server has room, so that it keeps lower tiers waiting.
    fn next_grant(&mut self, now: Instant) -> Option<(Ticket, Choice)> {
        if !self.servers.is_any_open() {
            return None;
        }
        // Offers that wait for other versions do not count as examined, or they would block those behind them.
        let mut openness = Openness::default();
        let mut examined = 0;
        for offer in self.queue.in_order() {
            if !openness.is_open(&self.servers, &offer.versions) {
                continue;
            }
            if examined == OFFERS_EXAMINED_MAX {
                return None;
            }
            examined += 1;
            if offer.early {
                if let Some(choice) = self.servers.choose_on_time(offer, now) {
                    return Some((offer.ticket.clone(), choice));
                }
                continue;
            }
            let room = room(&self.demand, offer, now);
            match self.servers.choose_within(offer, &room, now) {
                Some(choice) => return Some((offer.ticket.clone(), choice)),
                None if matches!(offer.versions, Constraint::Only(_)) => {}
                None => return None,
            }
        }
        None
    }
}

/// Whether servers are open for each constraint that the waiting offers have, as far as that was asked.
#[derive(Debug, Default)]
struct Openness(Vec<(Constraint, bool)>);

impl Openness {
    fn is_open(&mut self, servers: &Servers, versions: &Constraint) -> bool {
        let known = self.0.iter().find(|(constraint, _)| constraint == versions);
        if let Some((_, is_open)) = known {
            return *is_open;
        }
        let is_open = servers.is_any_open_to(versions);
        self.0.push((versions.clone(), is_open));
        is_open
    }
}

/// How far an offer may fill a server: up to half of its own promised first-token time and, while higher tiers have
/// demand, up to half of what those may fill.
fn room(demand: &Demand, offer: &Offer, now: Instant) -> Room {
    let own = offer.first_token_target.mul_f64(WINDOW_SHARE);
    let higher = demand.above(offer.rank, now);
    let window = higher.map_or(own, |higher| {
        own.min(
            higher
                .first_token_target
                .mul_f64(WINDOW_SHARE * LOWER_TIER_SHARE),
        )
    });
    Room { window, higher }
}
