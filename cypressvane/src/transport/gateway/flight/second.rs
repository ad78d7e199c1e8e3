//! The second server of a request, which is sought while the first one is silent.

use std::mem;
use std::sync::Arc;

use super::{Flight, Stage};
use crate::coordination::hedge::Leg;
use crate::coordination::pool::End;
use crate::state::clock::Instant;
use crate::state::units::millis;
use crate::transport::gateway::exchange::Ready;
use crate::transport::gateway::place::Place;
use crate::transport::gateway::sending::Sending;

/// What there is of a second server.
pub(super) enum Second {
    None,
    Sought(Place),
    Sent(Box<Sending>),
}

impl Flight {
    /// Seeks a place on a second server, unless the retry budget allows none. A second server that is silent too is given
    /// up.
    pub(super) fn seek_second(&mut self, now: Instant, ends_at: Instant) {
        let Stage::Sent(_, first) = &self.stage else {
            return;
        };
        if let Second::Sent(mut silent) = mem::replace(&mut self.second, Second::None) {
            silent.held.end(End::Overtaken);
        }
        let exchange = &mut self.exchange;
        if !exchange.node.has_retry(&exchange.spec.service, now) {
            exchange.hedge.note_no_place(now);
            self.count_hedge("no_budget");
            return;
        }
        let silence = first.silence(now);
        slog::info!(
            exchange.node.log, "a server is silent, and another one is sought";
            "request_id" => &exchange.trace.request_id,
            "server" => &*first.grant.server, "silent_ms" => millis(silence),
        );
        if self.has_head {
            exchange.keep_version(first);
        }
        let (spec, choice) = exchange.second_spec(first, ends_at);
        let node = Arc::clone(&exchange.node);
        let request_id = exchange.trace.request_id.clone();
        self.second = Second::Sought(Place::seek(node, spec, choice, request_id));
    }

    /// Sends the request to the second server too, if that is allowed.
    pub(super) fn send_second(&mut self, ready: Ready) {
        let now = Instant::now();
        let exchange = &mut self.exchange;
        let is_allowed = exchange.check_caller_and_host().is_ok() && exchange.may_repeat();
        let has_budget = is_allowed && exchange.node.take_retry(&exchange.spec.service, now);
        if !exchange.hedge.take_place(has_budget, now) {
            self.second = Second::None;
            self.count_hedge(if is_allowed { "no_budget" } else { "barred" });
            return;
        }
        let (Stage::Sent(request, first), Second::Sought(place)) = (
            &mut self.stage,
            mem::replace(&mut self.second, Second::None),
        ) else {
            return;
        };
        request.repeat();
        exchange.inbound.last_event = first.last_event();
        let second = exchange.send_over(ready, place.choice);
        self.second = Second::Sent(Box::new(second));
    }

    /// Goes on with the answer of one server, and closes the connection to the other.
    pub(super) fn use_answer_of(&mut self, leg: Leg) {
        let second = mem::replace(&mut self.second, Second::None);
        match (leg, second) {
            (Leg::First, Second::None) => {}
            (Leg::First, Second::Sought(_)) => self.count_hedge("first_went_on"),
            (Leg::First, Second::Sent(mut second)) => {
                self.count_hedge("first_went_on");
                // A first part that took long shows that the request does; a later one, that the first server had paused.
                if !self.has_head {
                    second.held.end(End::Outrun);
                }
            }
            (Leg::Second, Second::Sent(second)) => self.replace_first(second, End::Overtaken),
            (Leg::Second, _) => unreachable!("only a second server that has the request answers"),
        }
    }

    /// Goes on with the second server in place of the first, whose grant ends with `end`.
    pub(super) fn replace_first(&mut self, second: Box<Sending>, end: End) {
        let Stage::Sent(_, first) = &mut self.stage else {
            return;
        };
        let mut first = mem::replace(first, second);
        if end == End::Overtaken {
            slog::info!(
                self.exchange.node.log, "a second server has answered before a silent one";
                "request_id" => &self.exchange.trace.request_id,
                "server" => &*first.grant.server,
                "silent_ms" => millis(first.silence(Instant::now())),
            );
            self.count_hedge("second_took_over");
        }
        first.held.end(end);
        if let Stage::Sent(_, second) = &self.stage {
            let trace = &mut self.exchange.trace;
            trace.record_other_server(&second.grant, second.through.as_ref());
        }
    }

    /// Counts what became of seeking a second server.
    pub(super) fn count_hedge(&self, outcome: &str) {
        let hedges = &self.exchange.node.metrics.hedges;
        hedges.with_label_values(&[outcome]).inc();
    }
}
