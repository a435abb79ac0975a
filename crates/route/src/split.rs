//! Deals requests out over services by weight.

/// Smooth weighted round robin.
///
/// Each turn every part gains its weight; the part with the most is taken and pays the sum of all
/// weights. Over any span the shares differ from the weights by less than one request for each part,
/// so that many gates with few requests each keep to the weights too.
///
/// ```
/// use ggs_route::WeightedSplit;
///
/// let mut split = WeightedSplit::new(&[3, 1], 0);
/// let turns: Vec<_> = (0..4).map(|_| split.next_part()).collect();
/// assert_eq!(turns.iter().filter(|part| **part == 0).count(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct WeightedSplit {
    weights: Vec<i64>,
    credits: Vec<i64>,
    total: i64,
}

impl WeightedSplit {
    /// A split by `weights` that starts after `phase` turns, so that gates do not move in step.
    pub fn new(weights: &[u32], phase: u64) -> Self {
        let weights: Vec<i64> = weights.iter().map(|weight| i64::from(*weight)).collect();
        let total: i64 = weights.iter().sum();
        let mut split = Self {
            credits: vec![0; weights.len()],
            weights,
            total,
        };
        if split.total > 0 {
            for _ in 0..phase % split.total as u64 {
                split.next_part();
            }
        }
        split
    }

    /// The part that takes the next request; the first one if no part has a weight.
    pub fn next_part(&mut self) -> usize {
        let mut best = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            self.credits[index] += weight;
            if self.credits[index] > self.credits[best] {
                best = index;
            }
        }
        if let Some(credit) = self.credits.get_mut(best) {
            *credit -= self.total;
        }
        best
    }
}
