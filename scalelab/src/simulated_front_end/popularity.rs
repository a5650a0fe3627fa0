//! How the calls fall on the functions.
use super::Shape;

/// How the calls fall on the functions.
pub struct Popularity(Vec<f64>);

impl Popularity {
    pub fn new(shape: &Shape) -> Popularity {
        let mut sum = 0.0;
        let part = |n: usize| (n as f64 + 1.0 + shape.offset).powf(-shape.exponent);
        let mut sums: Vec<f64> = (0..shape.functions)
            .map(|n| {
                sum += part(n);
                sum
            })
            .collect();
        sums.iter_mut().for_each(|s| *s /= sum);
        Popularity(sums)
    }

    pub(super) fn draw(&self, chance: f64) -> usize {
        self.0
            .partition_point(|&s| s <= chance)
            .min(self.0.len() - 1)
    }

    pub fn part(&self, n: usize) -> f64 {
        self.0[n] - if n == 0 { 0.0 } else { self.0[n - 1] }
    }
}
