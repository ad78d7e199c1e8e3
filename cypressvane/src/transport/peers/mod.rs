//! The listener for the other hosts.

pub(crate) mod links;
mod list_body;
mod reach;

use std::sync::Arc;

use futures_lite::AsyncReadExt as _;
use http_types::{Method, Request, Response};
use smol::lock::Semaphore;

use crate::coordination::membership::{self, Announcement};
use crate::protocol::message::{
    self, CONFIG_PATH, HOST, Heartbeat, INCARNATION, LENGTH_BYTES, LINK_PATH, LIST_PATH, Message,
    PROTOCOL,
};
use crate::protocol::reach::REACH_PATH;
use crate::protocol::refusal::{Code, Reason};
use crate::protocol::request;
use crate::state::clock::Instant;
use crate::state::digest::Key;
use crate::state::fleet::Account;
use crate::state::name::Name;
use crate::transport::http::answer;
use crate::transport::http::head::{bearer, header};
use crate::transport::http::server::{Endpoint, IncomingRequest};
use crate::transport::node::Node;
use crate::transport::peers::links::PeerState;
use crate::transport::platform::host_list;
use crate::transport::streams;

/// Most hosts that get the whole host list, of some hundred KB, at the same time. With more of them each transfer would
/// be so slow that all time out.
const LISTS_MAX: usize = 2;

/// Serves the other hosts.
pub(crate) struct Peers {
    node: Arc<Node>,
    key: Key,
    /// Limits the hosts that get the whole host list at the same time.
    list_permits: Arc<Semaphore>,
}

impl Peers {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        let key = Key::of(&node.config.host.peer_key);
        Self {
            node,
            key,
            list_permits: Arc::new(Semaphore::new(LISTS_MAX)),
        }
    }

    fn is_authorized(&self, request: &Request) -> bool {
        bearer(request).is_some_and(|presented| Key::of(presented).matches(&self.key))
            && header(request, PROTOCOL) == Some(message::VERSION)
    }

    /// Handles the messages of a host until its link ends.
    async fn serve_link(&self, mut request: Request) -> Response {
        let from = header(&request, HOST).map(Name::from);
        let incarnation = header(&request, INCARNATION).and_then(|text| text.parse().ok());
        let (Some(from), Some(incarnation)) = (from, incarnation) else {
            return self.reject(Reason::new(Code::BadRequest, "the link names no host"));
        };
        while let Ok(messages) = read_frame(&mut request).await {
            let now = Instant::now();
            if self.node.links.note_received(&from, incarnation, now) {
                self.node.scheduler.forget(&from, incarnation, now);
                self.node.scheduler.inform_restarted(&from, now);
                self.node.streams.note_restarted(&from, now);
                self.node.quarantine.note_restarted(&from);
            }
            for message in messages {
                self.handle(&from, incarnation, message, now);
            }
        }
        answer::text(200, "")
    }

    fn handle(&self, from: &Name, incarnation: u64, message: Message, now: Instant) {
        match message {
            Message::Heartbeat(heartbeat) => {
                self.handle_heartbeat(from, incarnation, &heartbeat, now);
            }
            Message::Evacuated(report) => {
                self.node.evacuations.handle_report(&report);
                host_list::follow_orders(&self.node);
            }
            Message::Members { updates } => self.merge_members(&updates, now),
            Message::Ordered(order) => {
                // The order is relayed already, so it is not announced again.
                self.node.rollouts.update_orders(&[order]);
            }
            Message::MembersPull { digest } => self.node.links.answer_pull(from, digest),
            relayed @ Message::Relayed { .. } => {
                if self.node.links.relay(&relayed, Some(from))
                    && let Message::Relayed { message, .. } = relayed
                    && !matches!(*message, Message::Relayed { .. })
                {
                    self.handle(from, incarnation, *message, now);
                }
            }
            Message::Listed { news } => self.handle_list_change(from, &news),
            Message::Charge {
                sequence,
                account,
                tokens,
            } => {
                let active = self.node.active();
                let known = active.as_ref();
                let account = known.and_then(|active| active.index.account_named(&account));
                self.node
                    .accounts
                    .handle_charge(from, sequence, account, tokens, now);
            }
            Message::Charged {
                sequence,
                word: reply,
            } => self.node.accounts.handle_reply(sequence, reply),
            Message::GiveBack { account, tokens } => self.with_account(from, &account, |account| {
                self.node.accounts.handle_give_back(account, tokens, now);
            }),
            Message::Spent { account, tokens } => self.with_account(from, &account, |account| {
                self.node.accounts.handle_spent(account, tokens, now);
            }),
            Message::Ended(ended) => {
                let servers = self.node.scheduler.server_count(ended.pool());
                self.node.quarantine.handle_ended(from, ended, servers, now);
            }
            Message::Answered { features } => {
                self.node.quarantine.handle_answered(&features, now);
            }
            Message::Rulings { rulings } => self.node.quarantine.merge(from, rulings, now),
            Message::TurnQuery {
                sequence,
                features,
                lease_ms,
            } => {
                let quarantine = &self.node.quarantine;
                quarantine.handle_turn_query(from, sequence, &features, lease_ms, now);
            }
            Message::TurnReply { sequence, is_given } => {
                self.node.quarantine.handle_turn_reply(sequence, is_given);
            }
            Message::TurnEnd { sequence } => {
                self.node.quarantine.handle_turn_end(from, sequence);
            }
            Message::Rollout {
                service,
                number,
                report,
            } => self
                .node
                .rollouts
                .note_report(from, incarnation, &service, number, &report, now),
            Message::RolloutWord(instruction) => {
                self.node.rollouts.handle_instruction(&instruction, now);
                host_list::follow_orders(&self.node);
            }
            Message::Origins { version, streams } => {
                self.node.streams.handle_origins(&version, &streams, now);
            }
            Message::OriginQuery {
                sequence,
                service,
                stream,
            } => {
                let streams = &self.node.streams;
                let is_current = streams::is_current(&self.node);
                streams.handle_query(from, sequence, &service, stream, is_current);
            }
            Message::OriginReply { sequence, report } => {
                self.node.streams.handle_reply(from, sequence, report);
            }
            other => self.node.scheduler.handle(from, incarnation, other, now),
        }
    }

    fn handle_heartbeat(&self, from: &Name, incarnation: u64, heartbeat: &Heartbeat, now: Instant) {
        let version = heartbeat.version;
        self.node.quarantine.sync_with(from, heartbeat.rulings, now);
        self.node.host_list.observe_peer(&heartbeat.list_known);
        self.handle_confirmation(version, heartbeat.confirmed);
        let links = &self.node.links;
        links.note_list_known(&heartbeat.list_known);
        let announcement = Announcement {
            incarnation,
            sequence: heartbeat.sequence,
            draining: heartbeat.draining,
            cut_off: heartbeat.cut_off,
            severed: heartbeat.severed,
        };
        let state = PeerState {
            version,
            announcement,
            picked: heartbeat.picked,
        };
        links.note_heartbeat(from, state, now);
        if heartbeat.doubts {
            links.reconnect_doubted(from, now);
        }
        if links.note_reception(from, heartbeat.hears, now) {
            slog::info!(
                self.node.log, "another host hears nothing on its link, which is made anew";
                "host" => &**from,
            );
        }
        if version > self.node.version() {
            // A full channel means that the task has been notified already.
            let _ = self.node.signals.wake_config_follower.try_send(());
        }
    }

    /// Merges what a neighbour knows of other hosts. Homes drop the requests of a host that was restarted, and may need
    /// the limits that they knew.
    fn merge_members(&self, updates: &[membership::Update], now: Instant) {
        for update in updates {
            if self.node.links.merge_member(update, now) {
                let (host, incarnation) = (&update.host, update.announcement.incarnation);
                self.node.scheduler.forget(host, incarnation, now);
                self.node.scheduler.inform_restarted(host, now);
                self.node.streams.note_restarted(host, now);
                self.node.quarantine.note_restarted(host);
            }
        }
    }

    /// Runs `work` on an account of the configuration in force, or logs that it has no such account.
    fn with_account(&self, from: &Name, account: &Name, work: impl FnOnce(&Account)) {
        let active = self.node.active();
        let known = active.as_ref();
        match known.and_then(|active| active.index.account_named(account)) {
            Some(account) => work(account),
            None => slog::info!(
                self.node.log, "another host names an account that the configuration in force lacks";
                "host" => &**from, "account" => &**account, "version" => self.node.version(),
            ),
        }
    }

    /// Handles another host's confirmation that its version was the newest at a time by the platform's clock.
    fn handle_confirmation(&self, version: u64, confirmed: Option<u64>) {
        let config_store = self.node.config_store.as_ref();
        let moment = config_store.zip(confirmed);
        let moment = moment.and_then(|(store, confirmed_ms)| store.to_local_time(confirmed_ms));
        let Some(moment) = moment else { return };
        self.node.note_answered_elsewhere(moment);
        if version == self.node.version() {
            self.node.confirm(moment);
            if let Some(confirmed_ms) = confirmed {
                self.node.links.relay_confirmed(version, confirmed_ms);
            }
        }
    }

    /// Handles a change of the host list that another host has seen.
    fn handle_list_change(&self, from: &Name, changes: &[u8]) {
        if let Err(error) = self.node.host_list.apply_from_peer(changes) {
            slog::warn!(
                self.node.log, "a change of the host list from another host cannot be read";
                "host" => &**from, "cause" => %error,
            );
        }
    }

    async fn serve_list(&self) -> Response {
        let Some(permit) = self.list_permits.try_acquire_arc() else {
            let message = "other hosts are getting the host list from this one";
            return self.reject(Reason::new(Code::NotReady, message));
        };
        let node = Arc::clone(&self.node);
        match smol::unblock(move || node.host_list.content()).await {
            Some(content) => list_body::answer(content, permit),
            None => self.reject(Reason::new(Code::NotReady, "the host list was not read")),
        }
    }

    async fn serve_config(&self) -> Response {
        let Some(active) = self.node.active() else {
            return self.reject(Reason::new(Code::NotReady, "no configuration is in force"));
        };
        let encoded = smol::unblock(move || active.encoded().to_vec()).await;
        answer::with_body(200, encoded)
    }
}

impl Endpoint for Peers {
    async fn answer(&self, call: IncomingRequest) -> Response {
        if !self.is_authorized(&call.request) {
            let message = "the peer key or the protocol version is wrong";
            return self.reject(Reason::new(Code::Unauthorized, message));
        }
        match (call.request.method(), call.request.url().path()) {
            (Method::Post, LINK_PATH) => {
                // The body of a link has no end.
                call.note_whole();
                self.serve_link(call.request).await
            }
            (Method::Post, REACH_PATH) => self.serve_reach(call).await,
            (Method::Get, CONFIG_PATH) => self.serve_config().await,
            (Method::Get, LIST_PATH) => self.serve_list().await,
            _ => self.reject(Reason::new(Code::NotFound, "no such path")),
        }
    }

    fn reject(&self, reason: Reason) -> Response {
        answer::refusal(&request::Request::receive(Instant::now()).refuse(reason))
    }
}

/// Reads one frame from the body of a link's request.
async fn read_frame(request: &mut Request) -> Result<Vec<Message>, FrameError> {
    let mut length = [0; LENGTH_BYTES];
    request.read_exact(&mut length).await?;
    let mut body = vec![0; message::frame_length(length)?];
    request.read_exact(&mut body).await?;
    Ok(message::unpack(&body)?)
}

/// Why a link ends.
#[derive(Debug, thiserror::Error)]
enum FrameError {
    /// The connection broke or was closed.
    #[error(transparent)]
    Broken(#[from] std::io::Error),
    /// The frame is too long or malformed.
    #[error(transparent)]
    Message(#[from] message::Error),
}
