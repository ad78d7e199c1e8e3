//! What hosts say to each other: frames of `MessagePack` in the body of one long HTTP request.
//!
//! A frame is a length of four bytes, most significant first, and a list of messages. All messages
//! are idempotent, and each may be lost: offers are repeated, and grants are reconciled.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::limit::Over;
use crate::coordination::pool::End;
use crate::coordination::rollout;
use crate::coordination::shard::Shard;
use crate::protocol::refusal::{Code, Reason};
use crate::state::fingerprint::Fingerprint;
use crate::state::name::Name;

pub(crate) use crate::protocol::ruling::{Ended, Ruling};

/// Version of this protocol; hosts of unlike versions do not talk.
pub(crate) const VERSION: &str = "10";
/// Where links end.
pub(crate) const LINK_PATH: &str = "/peer/v1/link";
/// Where the configuration in force is given.
pub(crate) const CONFIG_PATH: &str = "/peer/v1/config";
/// The header that names the calling host.
pub(crate) const HOST: &str = "cypressvane-host";
/// The header with the calling host's incarnation.
pub(crate) const INCARNATION: &str = "cypressvane-incarnation";
/// The header with the protocol's version.
pub(crate) const PROTOCOL: &str = "cypressvane-protocol";
/// Bytes of a frame's length.
pub(crate) const LENGTH_BYTES: usize = 4;
/// Longest frame, in bytes.
pub(crate) const FRAME_BYTES_MAX: usize = 1 << 20;

/// One message; the short names keep frames small.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Holder to home: a request asks for a server.
    #[serde(rename = "o")]
    Offer(Offer),
    /// Holder to home: a request no longer waits, or its grant is not used.
    #[serde(rename = "w")]
    Withdraw { shard: Shard, sequence: u64 },
    /// Holder to home: the first token of a granted request came.
    #[serde(rename = "t")]
    FirstToken { shard: Shard, sequence: u64 },
    /// Holder to home: a granted request ended.
    #[serde(rename = "f")]
    Finish {
        shard: Shard,
        sequence: u64,
        end: End,
        /// Longest pause between events of its answer that was seen, in milliseconds.
        pause_ms: Option<u64>,
    },
    /// Any host to home: how many requests a second a server takes.
    #[serde(rename = "p")]
    Limit {
        shard: Shard,
        server: Name,
        heard: Heard,
    },
    /// Holder to a new home: this request runs on a grant of an earlier home.
    #[serde(rename = "a")]
    Adopt {
        shard: Shard,
        sequence: u64,
        server: Name,
        prompt_tokens: u32,
        prefilled: bool,
    },
    /// Holder to home: of this shard, only these requests still run.
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
        /// Whether the server names a limit, as far as the home knows.
        limited: bool,
    },
    /// Home to holder: the request waits, and no more is to be said of it yet.
    #[serde(rename = "q")]
    Queued { sequence: u64 },
    /// Home to holder: another shard of the service, of this number, has places for the request.
    #[serde(rename = "m")]
    Move { sequence: u64, to: u16 },
    /// Home to the home of another shard of the service: places that nobody waits for here.
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
    /// Any host to any other: it is alive, and this is its state.
    #[serde(rename = "h")]
    Heartbeat {
        version: u64,
        draining: bool,
        /// When that version was the newest, by the platform's clock in milliseconds.
        confirmed: Option<u64>,
        /// Whether the platform gives it no answer.
        cut_off: bool,
        /// How far it has read the host list itself, in the platform's own positions.
        list_read: Vec<u64>,
        /// Whether it lately heard the host that this goes to.
        hears: bool,
        /// Whether it has asked that host something and heard nothing: that host's link may be silent too.
        doubts: bool,
        /// A digest of its rulings on requests under which servers end.
        rulings: u64,
    },
    /// A host that follows the host list to any other: a change of it.
    #[serde(rename = "l")]
    Listed {
        /// The change, in the platform's own form.
        news: Vec<u8>,
        /// How long ago the platform answered again after it was away, as the sender knows.
        back_ms: Option<u64>,
    },
    /// Host to an account's home: a request of the account asks to be admitted.
    #[serde(rename = "c")]
    Charge {
        sequence: u64,
        account: Name,
        tokens: u32,
    },
    /// An account's home to a host: what it says to a charge.
    #[serde(rename = "d")]
    Charged { sequence: u64, word: Word },
    /// Host to an account's home: a request that it admitted was not sent to a backend server.
    #[serde(rename = "b")]
    GiveBack { account: Name, tokens: u32 },
    /// Host to an account's home: it admitted a request that the home refused too late.
    #[serde(rename = "s")]
    Spent { account: Name, tokens: u32 },
    /// Any host to all others: a server ended while it ran a request.
    #[serde(rename = "e")]
    Ended(Ended),
    /// Any host to all others: a request under which servers had ended was answered whole.
    #[serde(rename = "k")]
    Answered { fingerprint: Fingerprint },
    /// Any host to any other: which requests are kept from the servers, and which are let through again.
    #[serde(rename = "j")]
    Rulings { rulings: Vec<Ruling> },
    /// Host to the coordinator of a service's roll-out: what it sent, and how it was answered.
    #[serde(rename = "u")]
    Rollout {
        service: Name,
        /// The order's number.
        number: u64,
        report: rollout::Report,
    },
    /// The coordinator of a service's roll-out to a host: what it is to do.
    #[serde(rename = "v")]
    RolloutWord(RolloutWord),
}

/// How a host knows how many requests a second a server takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Heard {
    /// From the answer to a granted request; `None` where it names no limit.
    #[serde(rename = "a")]
    Now {
        sequence: u64,
        per_second: Option<f64>,
    },
    /// From an answer some time ago, told to a home that may not know it.
    #[serde(rename = "e")]
    Earlier { per_second: f64, ago_ms: u64 },
}

/// What a host is to do in a service's roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RolloutWord {
    pub(crate) service: Name,
    /// The order's number.
    pub(crate) number: u64,
    /// The version that it is about.
    pub(crate) to: Name,
    pub(crate) word: rollout::Word,
}

/// What an account's home says to a charge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Word {
    /// The request is within the limits, and was taken out of them.
    #[serde(rename = "w")]
    Within,
    /// It is over a limit.
    #[serde(rename = "o")]
    Over(Over),
    /// No version in force there has the account.
    #[serde(rename = "u")]
    Unknown,
}

/// How an offer comes to its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Made {
    /// For the first time: it may be given to another shard.
    #[serde(rename = "f")]
    First,
    /// From another shard that has given it away.
    #[serde(rename = "m")]
    Moved,
    /// Once more, since its holder waits for a word.
    #[serde(rename = "a")]
    Again,
}

/// A request that asks for a server; times are relative, since clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Offer {
    pub(crate) shard: Shard,
    pub(crate) sequence: u64,
    pub(crate) made: Made,
    pub(crate) rank: usize,
    pub(crate) priority: i64,
    pub(crate) prompt_tokens: u32,
    pub(crate) waited_ms: u64,
    pub(crate) left_ms: u64,
    pub(crate) first_token_ms: u64,
    /// Longest pause between events that is on time, in milliseconds; 0 where there is no bound.
    pub(crate) pause_ms: u64,
    /// How many tokens its answer is likely to have; 0 where nothing is known of it.
    pub(crate) answer_tokens: u32,
    /// Time until its whole answer is due, in milliseconds.
    pub(crate) whole_ms: u64,
    /// The server that failed it, where one did.
    pub(crate) avoid: Option<Name>,
    pub(crate) early: bool,
    pub(crate) returning: bool,
    pub(crate) mark: Option<u64>,
    pub(crate) opening: Option<u64>,
}

/// Why bytes are no frame.
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
    /// The message that tells a holder of a refusal.
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

/// The reason in a refusal that a home sent.
pub(crate) fn reason(code: Code, message: String, retry_after_ms: Option<u64>) -> Reason {
    Reason {
        code,
        message,
        retry_after: retry_after_ms.map(Duration::from_millis),
    }
}

/// Packs messages into a frame.
///
/// # Panics
/// When a message has no `MessagePack` form, which is a fault of the program.
pub(crate) fn pack(messages: &[Message]) -> Vec<u8> {
    let body = rmp_serde::to_vec(messages).expect("plain values have a MessagePack form");
    let length = u32::try_from(body.len()).expect("a frame is far shorter than 4 GiB");
    let mut frame = Vec::with_capacity(LENGTH_BYTES + body.len());
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Reads the length of the frame that follows.
///
/// # Errors
/// When it is longer than allowed.
pub(crate) fn length(bytes: [u8; LENGTH_BYTES]) -> Result<usize, Error> {
    let length = u32::from_be_bytes(bytes) as usize;
    if length > FRAME_BYTES_MAX {
        return Err(Error::TooLong(length));
    }
    Ok(length)
}

/// Unpacks the messages of a frame without its length.
///
/// # Errors
/// When the frame does not parse.
pub(crate) fn unpack(body: &[u8]) -> Result<Vec<Message>, Error> {
    Ok(rmp_serde::from_slice(body)?)
}

#[cfg(test)]
#[path = "message_tests.rs"]
mod tests;
