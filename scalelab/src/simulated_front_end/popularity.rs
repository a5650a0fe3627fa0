//! How requests are distributed over the functions.
use super::Scenario;

/// Cumulative shares of the functions, by rank; the last is 1.
pub struct FunctionPopularity(Vec<f64>);

impl FunctionPopularity {
    /// The distribution that the scenario's exponent and offset define.
    pub fn new(scenario: &Scenario) -> FunctionPopularity {
        let weight = |rank: usize| {
            (rank as f64 + 1.0 + scenario.popularity_offset).powf(-scenario.popularity_exponent)
        };
        let mut total = 0.0;
        let mut cumulative = Vec::with_capacity(scenario.functions);
        for rank in 0..scenario.functions {
            total += weight(rank);
            cumulative.push(total);
        }
        for sum in &mut cumulative {
            *sum /= total;
        }
        FunctionPopularity(cumulative)
    }

    /// The function that a uniform random number from 0 to 1 selects.
    pub(super) fn draw(&self, uniform: f64) -> usize {
        let function = self.0.partition_point(|&sum| sum <= uniform);
        function.min(self.0.len() - 1)
    }

    /// The share of all requests that are for this function, from 0 to 1.
    pub fn share(&self, function: usize) -> f64 {
        let before = match function {
            0 => 0.0,
            _ => self.0[function - 1],
        };
        self.0[function] - before
    }
}
