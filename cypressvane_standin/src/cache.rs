//! The prefix cache of a model engine's stand-in: limited memory, the least recently used goes first.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher as _};

/// Bytes of prompt text in a block.
const BLOCK_BYTES: usize = 256;
/// Tokens in a block.
const BLOCK_TOKENS: u32 = 64;

/// Which blocks of prompts the engine remembers.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// When each block was last used.
    used: HashMap<u64, u64>,
    /// The same by time.
    order: BTreeMap<u64, u64>,
    clock: u64,
}

impl Cache {
    /// Remembers a prompt, and gives the tokens at its beginning that were known already.
    ///
    /// `capacity` is the number of blocks that the memory holds.
    pub(crate) fn take(&mut self, text: &str, capacity: usize) -> u32 {
        let mut hasher = DefaultHasher::new();
        let mut known = 0;
        let mut unbroken = true;
        for block in text.as_bytes().chunks_exact(BLOCK_BYTES) {
            // A block counts with all that stands before it.
            block.hash(&mut hasher);
            let hash = hasher.finish();
            unbroken &= self.used.contains_key(&hash);
            if unbroken {
                known += BLOCK_TOKENS;
            }
            self.touch(hash);
        }
        while self.used.len() > capacity {
            let Some((_, hash)) = self.order.pop_first() else {
                break;
            };
            self.used.remove(&hash);
        }
        known
    }

    fn touch(&mut self, hash: u64) {
        self.clock += 1;
        if let Some(before) = self.used.insert(hash, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, hash);
    }
}
