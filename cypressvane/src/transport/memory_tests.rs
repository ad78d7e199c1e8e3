//! Tests the account of memory: it is never above its bound, and nothing stays in it.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::{block_on, poll_once, zip};
use smol::Timer;

use super::intake::READ_BYTES;
use super::{
    Eviction, Full, Intake, IntakeError, Kind, Memory, PATIENCE, ROOM_TIMEOUT, Room, UNREAD_BYTES,
};
use crate::coordination::memory::{CONNECTION_BYTES, Plan, SMALL_BYTES};
use crate::seeded;
use crate::state::clock::Instant;

/// Memory of the accounts under test, in MiB; 8 MiB of it are for bodies and answers.
const MEMORY_MB: u64 = 1;
const ROOMS: usize = 12;
/// Unit of the sizes that are drawn, in bytes.
const STEP_BYTES: u64 = 16 << 10;

fn most() -> u64 {
    Plan::of(MEMORY_MB).most(Kind::SmallBody, 0)
}

/// Grows a room if there is place at once; the wait for it is cancelled otherwise.
fn grow_at_once(room: &mut Room, bytes: u64) -> Option<Result<(), Full>> {
    block_on(poll_once(pin!(room.grow(bytes))))
}

#[test]
fn rooms_stay_within_the_bound_and_are_given_back() {
    /// Plays one step with a room, or closes it.
    fn step(memory: &Memory, slot: &mut Option<Room>, action: u8, steps: u8) {
        let kind = match action / 8 % 4 {
            0 => Kind::SmallBody,
            1 => Kind::Body,
            _ => Kind::Answer,
        };
        let room = slot.get_or_insert_with(|| memory.room(kind));
        match action % 8 {
            0..=3 => {
                grow_at_once(room, u64::from(steps) * STEP_BYTES);
            }
            4 => room.shrink(room.bytes / 2),
            5 => {
                block_on(poll_once(pin!(
                    room.while_arriving(std::future::pending::<()>())
                )));
            }
            6 => room.settle(),
            _ => *slot = None,
        }
    }
    fn holds(actions: Vec<(u8, u8, u8)>) -> bool {
        let memory = Memory::open(MEMORY_MB);
        let mut rooms: [Option<Room>; ROOMS] = Default::default();
        let mut stays_within = true;
        for (index, action, steps) in actions {
            step(
                &memory,
                &mut rooms[usize::from(index) % ROOMS],
                action,
                steps,
            );
            let sum: u64 = rooms.iter().flatten().map(|room| room.bytes).sum();
            stays_within &= memory.held() == sum && sum <= most();
            if action < 128 {
                memory.evict_heaviest(Kind::Body, Instant::now());
            }
        }
        drop(rooms);
        let evictable = memory
            .0
            .content
            .evictable
            .lock()
            .expect("no test panics here");
        let is_empty = evictable.entries.is_empty() && evictable.yielding == 0;
        stays_within && is_empty && memory.held() == 0
    }
    seeded::quickcheck()
        .tests(1_000)
        .quickcheck(holds as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn small_bodies_have_room_beside_large_ones() {
    let memory = Memory::open(MEMORY_MB);
    let mut large = memory.room(Kind::Body);
    while grow_at_once(&mut large, STEP_BYTES) == Some(Ok(())) {}
    let mut small = memory.room(Kind::SmallBody);
    assert_eq!(grow_at_once(&mut small, SMALL_BYTES), Some(Ok(())));
    assert_eq!(grow_at_once(&mut small, 1), None, "no longer small");
}

#[test]
fn who_holds_most_for_longest_gives_up_room_for_another() {
    block_on(async {
        let memory = Memory::open(MEMORY_MB);
        let mut heavy = memory.room(Kind::Body);
        let bytes = Plan::of(MEMORY_MB).most(Kind::Body, 0);
        assert_eq!(heavy.grow(bytes).await, Ok(()));
        let stalled = async {
            let read = heavy.while_arriving(std::future::pending::<()>()).await;
            drop(heavy);
            read
        };
        let other = async {
            // The stalled body arrives first.
            Timer::after(Duration::from_millis(10)).await;
            let mut other = memory.room(Kind::Body);
            other.grow(STEP_BYTES).await
        };
        assert_eq!(zip(stalled, other).await, (Err(Full), Ok(())));
        assert_eq!(memory.refusals_and_evictions(), (0, 1));
        assert_eq!(memory.held(), 0);
    });
}

/// Guards against a stalled body that kept its room because others came and went.
#[test]
fn a_stalled_body_gives_up_room_while_other_rooms_are_given_back() {
    block_on(async {
        let memory = Memory::open(MEMORY_MB);
        let mut heavy = memory.room(Kind::Body);
        let bytes = Plan::of(MEMORY_MB).most(Kind::Body, 0);
        assert_eq!(heavy.grow(bytes).await, Ok(()));
        let stalled = async {
            let read = heavy.while_arriving(std::future::pending::<()>()).await;
            drop(heavy);
            read
        };
        let other = async { memory.room(Kind::Body).grow(STEP_BYTES).await };
        let traffic = async {
            loop {
                Timer::after(PATIENCE / 4).await;
                let mut small = memory.room(Kind::SmallBody);
                assert_eq!(small.grow(1).await, Ok(()));
            }
        };
        let waited = futures_lite::future::or(async { Some(zip(stalled, other).await) }, traffic);
        let waited = futures_lite::future::or(waited, async {
            Timer::after(2 * ROOM_TIMEOUT).await;
            None
        });
        assert_eq!(waited.await, Some((Err(Full), Ok(()))));
    });
}

/// Reads an answer of so many bytes.
async fn answer(memory: &Memory, bytes: usize) -> (Bytes, Option<Eviction>) {
    let mut intake = Intake::of_answer(memory, Some(bytes as u64), usize::MAX).expect("it fits");
    intake.begin().await.expect("there is room");
    intake.push(&vec![0; bytes]).await.expect("it fits");
    intake.finish_answer()
}

#[test]
fn an_answer_that_is_not_read_gives_up_room_for_another() {
    block_on(async {
        let memory = Memory::open(MEMORY_MB);
        let most = Plan::of(MEMORY_MB).most(Kind::Body, 0);
        let bytes = usize::try_from(most).expect("few bytes") - READ_BYTES;
        let (unread, eviction) = answer(&memory, bytes).await;
        let eviction = eviction.expect("a large answer may have to give up its room");
        let writer = async {
            eviction.wait().await;
            drop(unread);
        };
        let ((), (other, _)) = zip(writer, answer(&memory, bytes)).await;
        assert_eq!(other.len(), bytes);
        assert_eq!(memory.refusals_and_evictions(), (0, 1));
        drop(other);
        assert_eq!(memory.held(), 0);
    });
}

#[test]
fn a_small_answer_keeps_its_room() {
    let memory = Memory::open(MEMORY_MB);
    let small = usize::try_from(SMALL_BYTES).expect("few bytes") - READ_BYTES;
    let (bytes, eviction) = block_on(answer(&memory, small));
    assert!(eviction.is_none());
    memory.evict_heaviest(Kind::Body, Instant::now() + ROOM_TIMEOUT);
    assert_eq!(memory.refusals_and_evictions(), (0, 0));
    assert_eq!(memory.held(), bytes.len() as u64);
}

#[test]
fn a_holder_that_does_not_let_go_delays_the_next_eviction() {
    struct Case {
        after: Duration,
        evictions: u64,
    }
    let cases = [
        Case {
            after: PATIENCE / 2,
            evictions: 1,
        },
        Case {
            after: PATIENCE,
            evictions: 2,
        },
    ];
    for case in cases {
        let memory = Memory::open(MEMORY_MB);
        let mut rooms = [Kind::Answer; 2].map(|kind| memory.room(kind));
        for room in &mut rooms {
            assert_eq!(grow_at_once(room, STEP_BYTES), Some(Ok(())));
            room.watch();
        }
        let now = Instant::now() + ROOM_TIMEOUT;
        memory.evict_heaviest(Kind::Body, now);
        memory.evict_heaviest(Kind::Body, now + case.after);
        assert_eq!(memory.refusals_and_evictions().1, case.evictions);
    }
}

#[test]
fn too_many_that_wait_are_refused_at_once() {
    block_on(async {
        let memory = Memory::open(MEMORY_MB);
        let unread = Plan::of(MEMORY_MB).unread_max();
        let waiting: Vec<_> = std::iter::from_fn(|| memory.enter_unread()).collect();
        assert_eq!(waiting.len() as u64, unread / UNREAD_BYTES);
        let mut running = memory.room(Kind::Body);
        let bytes = Plan::of(MEMORY_MB).most(Kind::Body, 0);
        assert_eq!(running.grow(bytes).await, Ok(()));
        let mut late = memory.room(Kind::Body);
        let refused = poll_once(pin!(late.grow(STEP_BYTES))).await;
        assert_eq!(refused, Some(Err(Full)));
    });
}

#[test]
fn a_body_for_which_there_can_be_no_room_is_too_long() {
    let memory = Memory::open(MEMORY_MB);
    let most = Plan::of(MEMORY_MB).most(Kind::Body, 0) - READ_BYTES as u64;
    let longest = Intake::of_request(&memory, Some(most), usize::MAX);
    let mut longest = longest.expect("there is room");
    assert_eq!(block_on(longest.begin()), Ok(()));
    drop(longest);
    for length in [most + 1, u64::MAX] {
        let longer = Intake::of_request(&memory, Some(length), usize::MAX);
        assert!(matches!(longer, Err(IntakeError::TooLong(bytes)) if bytes as u64 == most));
    }
}

#[test]
fn the_connection_that_was_idle_for_longest_makes_room() {
    block_on(async {
        let memory = Memory::open(MEMORY_MB);
        let most = Plan::of(MEMORY_MB).most(Kind::Connection, 0) / CONNECTION_BYTES;
        let mut seats = Vec::new();
        for _ in 0..most {
            seats.push(memory.seat().await.expect("there is room"));
        }
        let idle = seats.remove(1);
        for seat in &seats {
            seat.usage().note_request();
        }
        let evicted = async {
            idle.evicted().await;
            drop(idle);
        };
        let ((), seat) = zip(evicted, memory.seat()).await;
        seat.expect("the idle one has made room")
            .usage()
            .note_request();
    });
}

#[test]
fn connections_with_requests_are_kept() {
    block_on(async {
        let memory = Memory::open(MEMORY_MB);
        let most = Plan::of(MEMORY_MB).most(Kind::Connection, 0) / CONNECTION_BYTES;
        let mut seats = Vec::new();
        for _ in 0..most {
            let seat = memory.seat().await.expect("there is room");
            seat.usage().note_request();
            seats.push(seat);
        }
        assert_eq!(memory.seat().await.map(drop), Err(Full));
        seats[0].usage().note_answered();
        let evicted = async {
            let seat = seats.remove(0);
            seat.evicted().await;
        };
        let ((), seat) = zip(evicted, memory.seat()).await;
        assert_eq!(seat.map(drop), Ok(()));
    });
}
