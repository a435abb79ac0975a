//! Distributes the requests of a route over services by weight.

/// Smooth weighted round robin.
///
/// For each request, every choice gains credit equal to its weight. The choice with the most credit
/// takes the request and loses credit equal to the sum of all weights. Over any run of requests,
/// each choice gets its weighted share to within one request if there are two choices, and to within
/// a few if there are more. So the shares also hold over many gates that each get few requests.
///
/// ```
/// use ggs_route::WeightedSplit;
///
/// let mut split = WeightedSplit::new(&[3, 1], 0);
/// let choices: Vec<_> = (0..4).map(|_| split.next_index()).collect();
/// assert_eq!(choices.iter().filter(|index| **index == 0).count(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct WeightedSplit {
    weights: Vec<i64>,
    credits: Vec<i64>,
    total: i64,
}

impl WeightedSplit {
    /// A split by `weights` that starts as if `phase` requests had been distributed before. Gates
    /// pass different phases so that they do not all choose the same service at the same time.
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
                split.next_index();
            }
        }
        split
    }

    /// Index of the weight that takes the next request; 0 if there are no weights or all are zero.
    pub fn next_index(&mut self) -> usize {
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
