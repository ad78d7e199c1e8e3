//! The prefix cache of the simulated model engine, with least-recently-used eviction.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher as _};

/// Bytes of prompt text in a block.
const BLOCK_BYTES: usize = 256;
/// Tokens in a block.
const BLOCK_TOKENS: u32 = 64;

/// The blocks of earlier prompts that the engine has cached, by hash.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// Time of the last use of each block, in ticks of `clock`.
    last_used: HashMap<u64, u64>,
    /// The blocks by the time of their last use.
    by_last_use: BTreeMap<u64, u64>,
    /// Logical time, incremented with each use of a block.
    clock: u64,
}

impl Cache {
    /// Caches a prompt and returns the number of tokens of its prefix that were already cached.
    ///
    /// `capacity` is the maximum number of cached blocks.
    pub(crate) fn insert_prompt(&mut self, text: &str, capacity: usize) -> u32 {
        let mut hasher = DefaultHasher::new();
        let mut cached = 0;
        let mut is_prefix = true;
        for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
            // The hash of a block covers all blocks before it, so equal blocks after different prefixes differ.
            block.hash(&mut hasher);
            let hash = hasher.finish();
            is_prefix &= self.last_used.contains_key(&hash);
            if is_prefix {
                cached += BLOCK_TOKENS;
            }
            self.touch(hash);
        }
        while self.last_used.len() > capacity {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                break;
            };
            self.last_used.remove(&hash);
        }
        cached
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(previous) = self.last_used.insert(hash, self.clock) {
            self.by_last_use.remove(&previous);
        }
        self.by_last_use.insert(self.clock, hash);
    }
}
