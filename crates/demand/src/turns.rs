//! Which pool has the next burst. Demand often comes in turns: one queue after the other. The history
//! of bursts tells how often the pool whose last burst was longest ago was next, how often the one
//! after it, and so on; pools that have had none yet share their places. Without such a rhythm all
//! pools end up equally likely.

use super::*;

/// History of the bursts of all pools.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turns {
    /// Earliest first.
    bursts: Vec<Burst>,
}

/// A time in which a pool is asked for much more than its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Burst {
    pool: Name,
    /// Mean rate at which work arrived, in millicores; `None` while it goes on.
    height: Option<u64>,
}

/// The begin or end of a burst.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Turn {
    /// A burst of this pool has begun.
    Began(Name),
    /// The burst of this pool has ended; it had this mean rate, in millicores.
    Ended(Name, u64),
}

impl Turns {
    /// Number of bursts that are remembered.
    const MAX_BURSTS: usize = 64;

    /// Records the begin or end of a burst.
    pub fn record(&mut self, turn: Turn) {
        match turn {
            Turn::Began(pool) if !self.is_in_burst(&pool) => {
                self.bursts.push(Burst { pool, height: None });
                let excess = self.bursts.len().saturating_sub(Self::MAX_BURSTS);
                self.bursts.drain(..excess);
            }
            Turn::Began(_) => {}
            Turn::Ended(pool, height) => {
                let mut bursts = self.bursts.iter_mut().rev();
                if let Some(burst) = bursts.find(|b| b.pool == pool && b.height.is_none()) {
                    burst.height = Some(height);
                }
            }
        }
    }

    /// Whether a burst of this pool goes on.
    pub fn is_in_burst(&self, pool: &Name) -> bool {
        self.bursts.iter().any(|burst| burst.pool == *pool && burst.height.is_none())
    }

    /// Mean height of the bursts that have ended; `None` if there are none.
    pub fn mean_height(&self) -> Option<u64> {
        let heights: Vec<_> = self.bursts.iter().filter_map(|burst| burst.height).collect();
        let count = heights.len() as u64;
        (count > 0).then(|| heights.iter().sum::<u64>() / count)
    }

    /// How likely each of `pools` has the next burst.
    pub fn chances(&self, pools: &[Name]) -> Vec<f64> {
        let mut places = vec![1.0 / pools.len() as f64; pools.len()];
        for (index, burst) in self.bursts.iter().enumerate() {
            if pools.contains(&burst.pool) {
                let (first, count) = place_of(&burst.pool, pools, &self.bursts[..index]);
                for place in &mut places[first..first + count] {
                    *place += 1.0 / count as f64;
                }
            }
        }
        let total: f64 = places.iter().sum();
        let chance = |pool| {
            let (first, count) = place_of(pool, pools, &self.bursts);
            places[first..first + count].iter().sum::<f64>() / count as f64 / total
        };
        pools.iter().map(chance).collect()
    }
}

/// The first place of a pool when pools are sorted by the age of their last burst, oldest first, and
/// the number of pools that share its places because none of them has had one.
fn place_of(pool: &Name, pools: &[Name], bursts: &[Burst]) -> (usize, usize) {
    let last = |pool: &Name| bursts.iter().rposition(|burst| burst.pool == *pool);
    let own = last(pool);
    let before = pools.iter().filter(|other| last(other) < own).count();
    let beside = pools.iter().filter(|other| last(other) == own).count();
    (before, beside)
}
