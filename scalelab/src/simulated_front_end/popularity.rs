//! How the calls fall on the functions.
use super::Scenario;

/// How the calls fall on the functions.
pub struct FunctionPopularity(Vec<f64>);

impl FunctionPopularity {
    pub fn new(scenario: &Scenario) -> FunctionPopularity {
        let mut sum = 0.0;
        let part = |n: usize| {
            (n as f64 + 1.0 + scenario.popularity_offset).powf(-scenario.popularity_exponent)
        };
        let mut sums: Vec<f64> = (0..scenario.functions)
            .map(|n| {
                sum += part(n);
                sum
            })
            .collect();
        sums.iter_mut().for_each(|s| *s /= sum);
        FunctionPopularity(sums)
    }

    pub(super) fn draw(&self, chance: f64) -> usize {
        self.0
            .partition_point(|&s| s <= chance)
            .min(self.0.len() - 1)
    }

    pub fn share(&self, n: usize) -> f64 {
        self.0[n] - if n == 0 { 0.0 } else { self.0[n - 1] }
    }
}
