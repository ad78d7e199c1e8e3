//! Messages between hosts: `MessagePack` frames in the body of one long-lived HTTP request.
//!
//! A frame consists of its length, four bytes in big-endian order, and a list of messages. Any message may be lost:
//! offers are repeated, and grants are reconciled. Messages are idempotent, except for `Charge`, `GiveBack`, `Spent`,
//! `Rollout` and `RolloutWord`: these carry amounts, so each is sent only once.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::evacuation;
use crate::coordination::limit::Over;
use crate::coordination::membership;
use crate::coordination::origin;
use crate::coordination::pool::{End, Incarnation, Occupancy};
use crate::coordination::rollout;
use crate::coordination::shard::Shard;
use crate::coordination::version::Constraint;
use crate::protocol::headers::Limit;
use crate::protocol::refusal::{Code, Reason};
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;
use crate::state::rollout::Order;

pub(crate) use crate::protocol::ruling::{Ended, Ruling};

/// Version of this protocol; hosts reject requests of peers with a different version.
pub(crate) const VERSION: &str = "22";
/// Path to which a host sends its messages.
pub(crate) const LINK_PATH: &str = "/peer/v1/link";
/// Path of the configuration in force.
pub(crate) const CONFIG_PATH: &str = "/peer/v1/config";
/// Path of the whole host list.
pub(crate) const LIST_PATH: &str = "/peer/v1/list";
/// Header with the name of the calling host.
pub(crate) const HOST: &str = "cypressvane-host";
/// Header with the incarnation of the calling host.
pub(crate) const INCARNATION: &str = "cypressvane-incarnation";
/// Header with the version of this protocol.
pub(crate) const PROTOCOL: &str = "cypressvane-protocol";
/// Size of a frame's length field, in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Maximum length of a frame, in bytes.
pub(crate) const FRAME_BYTES_MAX: usize = 1 << 20;

/// A message between hosts; the short wire names keep frames small.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Holder to home: a request needs a server.
    #[serde(rename = "o")]
    Offer(Offer),
    /// Holder to home: a request no longer waits, or its grant will not be used.
    #[serde(rename = "w")]
    Withdraw { shard: Shard, sequence: u64 },
    /// Holder to home: the first token of a granted request has arrived.
    #[serde(rename = "t")]
    FirstToken {
        shard: Shard,
        sequence: u64,
        /// Pace that the server states, in percent of the usual time.
        pace: Option<u32>,
    },
    /// Holder to home: a granted request has heard nothing from its server for longer than expected.
    #[serde(rename = "si")]
    Silence {
        shard: Shard,
        sequence: u64,
        /// How long the server has been silent, in milliseconds.
        silent_ms: u64,
    },
    /// Holder to home: the server of a granted request, which was silent, has sent something.
    #[serde(rename = "vo")]
    Voice { shard: Shard, sequence: u64 },
    /// Home to holder: others hear the server of a granted request which hears nothing.
    #[serde(rename = "uh")]
    Unheard {
        sequence: u64,
        /// How long others have heard the server meanwhile, in milliseconds.
        silent_ms: u64,
    },
    /// Holder to the host that passed a request on: nothing has come back over its path, while others heard the server.
    #[serde(rename = "ps")]
    PathSilent {
        server: SocketAddr,
        /// For how long nothing has come, in milliseconds.
        silent_ms: u64,
    },
    /// Holder to home: a granted request has finished.
    #[serde(rename = "f")]
    Finish {
        shard: Shard,
        sequence: u64,
        end: End,
        /// Longest observed pause between events of its answer, in milliseconds.
        pause_ms: Option<u64>,
        /// Load that the server stated, if this is the end of a whole answer.
        occupancy: Option<Occupancy>,
        /// Pace that the server states, in percent of the usual time; `None` if it was sent with the first token.
        pace: Option<u32>,
    },
    /// Any host to home: what a server states of itself.
    #[serde(rename = "p")]
    Notice {
        shard: Shard,
        server: Name,
        /// The incarnation of the server that states it.
        incarnation: Incarnation,
        heard: NoticeReport,
    },
    /// Holder to a new home: this request is running on a grant of an earlier home.
    #[serde(rename = "a")]
    Adopt {
        shard: Shard,
        sequence: u64,
        server: Name,
        prompt_tokens: u32,
        prefilled: bool,
    },
    /// Holder to home: the complete list of its requests that are running in this shard.
    #[serde(rename = "r")]
    Reconcile { shard: Shard, running: Vec<u64> },
    /// Home to holder: the request may be sent to this server.
    #[serde(rename = "g")]
    Grant {
        shard: Shard,
        sequence: u64,
        server: Name,
        address: SocketAddr,
        /// Forecast time to the first token, in milliseconds.
        first_token_ms: u64,
        /// Whether the home knows a rate limit of the server.
        limited: bool,
        /// When the server was started, as far as the home knows.
        started_ms: Option<u64>,
        /// Version of the server's software, if it states one.
        version: Option<Name>,
    },
    /// Home to holder: the request still waits; sent in reply to a repeated offer.
    #[serde(rename = "q")]
    Queued { sequence: u64 },
    /// Home to holder: the request should be offered to the service's shard number `to`, which has free slots.
    #[serde(rename = "m")]
    Move { sequence: u64, to: u16 },
    /// Home to the home of another shard of the service: number of free slots not needed by waiting requests.
    #[serde(rename = "i")]
    Idle { shard: Shard, places: u32 },
    /// Home to holder: the request is refused.
    #[serde(rename = "n")]
    Refuse {
        sequence: u64,
        code: Code,
        message: String,
        retry_after_ms: Option<u64>,
    },
    /// Any host to any other: heartbeat with the sender's state.
    #[serde(rename = "h")]
    Heartbeat(Heartbeat),
    /// A host that reads the operators' orders to all others, where most hosts do not read them: a new order.
    #[serde(rename = "or")]
    Ordered(Order),
    /// Any host to its neighbours: what is new of other hosts.
    #[serde(rename = "y")]
    Members { updates: Vec<membership::Update> },
    /// Any host to a neighbour: asks for all that it knows of other hosts, unless that has this digest.
    #[serde(rename = "z")]
    MembersPull { digest: u64 },
    /// Any host to its neighbours: a message to all hosts of the region, each of which passes it on once.
    #[serde(rename = "ra")]
    Relayed {
        /// Identifies the message, so that each host handles it once.
        id: u64,
        breadth: Breadth,
        message: Box<Message>,
    },
    /// Any host to any other: the data centres that operators have evacuated.
    #[serde(rename = "x")]
    Evacuated(evacuation::Report),
    /// A host that watches the host list to any other: a change of the list.
    #[serde(rename = "l")]
    Listed {
        /// The change, in the platform's own encoding.
        news: Vec<u8>,
    },
    /// Host to an account's home: a request of the account needs admission.
    #[serde(rename = "c")]
    Charge {
        sequence: u64,
        account: Name,
        tokens: u32,
    },
    /// An account's home to a host: reply to a `Charge`.
    #[serde(rename = "d")]
    Charged { sequence: u64, word: ChargeReply },
    /// Host to an account's home: refund for an admitted request that was not sent to a backend server.
    #[serde(rename = "b")]
    GiveBack { account: Name, tokens: u32 },
    /// Host to an account's home: the host admitted a request from its own share, before the home's refusal arrived.
    #[serde(rename = "s")]
    Spent { account: Name, tokens: u32 },
    /// Any host to all others: a server ended while running a request.
    #[serde(rename = "e")]
    Ended(Ended),
    /// Any host to all others: a request with these features, which were present when servers ended, has now received a
    /// complete answer.
    #[serde(rename = "k")]
    Answered { features: Vec<Fingerprint> },
    /// Any host to any other: which features are quarantined, and which have been released.
    #[serde(rename = "j")]
    Rulings { rulings: Vec<Ruling> },
    /// Host to the home of turns: a request with suspected features asks whether it may run.
    #[serde(rename = "tq")]
    TurnQuery {
        /// Identifies the turn among those of the sender.
        sequence: u64,
        /// The suspected features.
        features: Vec<Fingerprint>,
        /// Longest time that the request runs, in milliseconds.
        lease_ms: u64,
    },
    /// Reply to a `TurnQuery`: whether the request may run; it need not ask again.
    #[serde(rename = "ta")]
    TurnReply { sequence: u64, is_given: bool },
    /// Host to the home of turns: the request does not run any more.
    #[serde(rename = "te")]
    TurnEnd { sequence: u64 },
    /// Host to the coordinator of a service's roll-out: numbers of requests sent and their results.
    #[serde(rename = "u")]
    Rollout {
        service: Name,
        /// Number of the order.
        number: u64,
        report: rollout::Report,
    },
    /// Any host to those that keep a group of streams: a version of the service began these.
    #[serde(rename = "og")]
    Origins {
        version: origin::Version,
        streams: Vec<origin::Id>,
    },
    /// Any host to those that keep a group of streams: which version began this one?
    #[serde(rename = "oq")]
    OriginQuery {
        sequence: u64,
        service: Name,
        /// `None` if the caller does not name the stream.
        stream: Option<origin::Id>,
    },
    /// Reply to an `OriginQuery`.
    #[serde(rename = "oa")]
    OriginReply {
        sequence: u64,
        report: origin::Report,
    },
    /// The coordinator of a service's roll-out to a host: instruction for routing the service's requests.
    #[serde(rename = "v")]
    RolloutWord(RolloutInstruction),
}

/// A host's state, as it tells its neighbours from time to time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "these facts are independent of each other"
)]
pub(crate) struct Heartbeat {
    pub(crate) version: u64,
    pub(crate) draining: bool,
    /// Time at which that version was confirmed to be the newest, by the platform's clock in milliseconds.
    pub(crate) confirmed: Option<u64>,
    /// Whether the platform does not answer the sender's calls.
    pub(crate) cut_off: bool,
    /// Whether the sender reaches no backend server directly.
    pub(crate) severed: bool,
    /// Positions of the newest changes of the host list that the sender knows, as defined by the platform.
    pub(crate) list_known: Vec<u64>,
    /// Whether the sender recently received messages from the receiver.
    pub(crate) hears: bool,
    /// Whether the sender reconnected because the receiver did not reply to a message: the receiver's own link may
    /// have failed without an error, so it should reconnect too.
    pub(crate) doubts: bool,
    /// Digest of the sender's quarantine rulings.
    pub(crate) rulings: u64,
    /// Number of the sender's announcement of its own state.
    pub(crate) sequence: u32,
    /// Whether the sender picked the receiver as a neighbour, so that the receiver keeps a link to it too.
    pub(crate) picked: bool,
}

/// To how many neighbours a host passes on a relayed message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Breadth {
    /// To all, so that it reaches every host.
    #[serde(rename = "a")]
    All,
    /// To a few: it reaches nearly every host, and the others notice that they lack it.
    #[serde(rename = "f")]
    Few,
}

/// What a server states of itself, and how the reporting host learned it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum NoticeReport {
    /// Stated in the answer to a granted request.
    #[serde(rename = "a")]
    Now {
        sequence: u64,
        limit: Limit,
        is_leaving: bool,
        /// Time for which the server wants no requests, in milliseconds.
        rest_ms: Option<u64>,
        /// Requests that the server can turn away in a second, if it is brittle.
        tolerance: Option<u32>,
    },
    /// Stated in earlier answers, repeated for a home that may not know it.
    #[serde(rename = "e")]
    Earlier {
        limit: Option<EarlierLimit>,
        /// Milliseconds since the server was first known to be leaving; `None` if it is not.
        leaving_ago_ms: Option<u64>,
        /// Remaining time for which the server wants no requests, in milliseconds.
        rest_ms: Option<u64>,
        /// Requests that the server can turn away in a second, if it is brittle, and how much longer that holds, in
        /// milliseconds.
        brittle: Option<(u32, u64)>,
    },
}

/// A server's rate limit in an earlier answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EarlierLimit {
    /// Requests per second.
    pub(crate) per_second: f64,
    /// Milliseconds since the answer was received.
    pub(crate) ago_ms: u64,
}

/// Instruction to a host in a service's roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RolloutInstruction {
    pub(crate) service: Name,
    /// Number of the order.
    pub(crate) number: u64,
    /// Version that is being rolled out.
    pub(crate) to: Name,
    pub(crate) word: rollout::Instruction,
}

/// Reply of an account's home to a `Charge`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ChargeReply {
    /// The request is within the limits and has been charged.
    #[serde(rename = "w")]
    Within,
    /// The request exceeds a limit.
    #[serde(rename = "o")]
    Over(Over),
    /// The configuration in force at the home does not have the account.
    #[serde(rename = "u")]
    Unknown,
}

/// How an offer came to be sent to a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum OfferKind {
    /// First offer of the request; the home may redirect it to another shard.
    #[serde(rename = "f")]
    First,
    /// Redirected from another shard.
    #[serde(rename = "m")]
    Moved,
    /// Repeated, because the holder has received no reply.
    #[serde(rename = "a")]
    Again,
}

/// A request that needs a server; times are relative, since the clocks of hosts differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Offer {
    pub(crate) shard: Shard,
    pub(crate) sequence: u64,
    pub(crate) made: OfferKind,
    pub(crate) rank: usize,
    pub(crate) priority: i64,
    /// Client account of the request; empty on a public route.
    pub(crate) account: Name,
    /// Weight of the account where accounts share the pool.
    pub(crate) weight: f64,
    pub(crate) prompt_tokens: u32,
    pub(crate) waited_ms: u64,
    pub(crate) left_ms: u64,
    pub(crate) first_token_ms: u64,
    /// Maximum pause between events that counts as on time, in milliseconds; 0 for no limit.
    pub(crate) pause_ms: u64,
    /// Expected number of answer tokens; 0 if unknown.
    pub(crate) answer_tokens: u32,
    /// Time remaining until the complete answer is due, in milliseconds.
    pub(crate) whole_ms: u64,
    /// Server on which the request failed before, if any.
    pub(crate) avoid: Option<Name>,
    /// Whether the request is refused as soon as it is not expected to be served on time.
    pub(crate) early: bool,
    /// Whether the request was refused before, or failed on a server; it then takes precedence.
    pub(crate) returning: bool,
    /// Identifies the request if it is sent again after a refusal; `None` if it cannot be recognised.
    pub(crate) mark: Option<u64>,
    /// Hash of the prompt's prefix, used to prefer a server that recently processed it.
    pub(crate) opening: Option<u64>,
    /// The versions of the servers that may run the request.
    pub(crate) versions: Constraint,
}

/// Reason for which a frame is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The frame is longer than allowed.
    #[error("a frame of {0} bytes found, at most {FRAME_BYTES_MAX} allowed")]
    TooLong(usize),
    /// The frame does not parse.
    #[error("a malformed frame: {0}")]
    Malformed(#[from] rmp_serde::decode::Error),
}

impl Message {
    /// Creates the message that refuses a request.
    pub(crate) fn refuse(sequence: u64, reason: &Reason) -> Self {
        let retry_after_ms = reason
            .retry_after
            .map(|wait| u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        Self::Refuse {
            sequence,
            code: reason.code,
            message: reason.message.clone(),
            retry_after_ms,
        }
    }
}

/// Reconstructs the reason of a refusal from the fields of a `Refuse` message.
pub(crate) fn refusal_reason(code: Code, message: String, retry_after_ms: Option<u64>) -> Reason {
    Reason {
        code,
        message,
        retry_after: retry_after_ms.map(Duration::from_millis),
    }
}

/// Encodes messages as a frame.
///
/// # Panics
/// Panics if a message cannot be encoded, which is a bug.
pub(crate) fn pack(messages: &[Message]) -> Vec<u8> {
    let body = rmp_serde::to_vec(messages).expect("plain values have a MessagePack form");
    let length = u32::try_from(body.len()).expect("a frame is far shorter than 4 GiB");
    let mut frame = Vec::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Decodes the length of the frame that follows.
///
/// # Errors
/// Fails if the length exceeds `FRAME_BYTES_MAX`.
pub(crate) fn frame_length(bytes: [u8; LENGTH_BYTES]) -> Result<usize, Error> {
    let length = u32::from_be_bytes(bytes) as usize;
    if length > FRAME_BYTES_MAX {
        return Err(Error::TooLong(length));
    }
    Ok(length)
}

/// Decodes the messages in the body of a frame, without its length.
///
/// # Errors
/// Fails if the body is malformed.
pub(crate) fn unpack(body: &[u8]) -> Result<Vec<Message>, Error> {
    Ok(rmp_serde::from_slice(body)?)
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
