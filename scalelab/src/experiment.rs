//! The definition of an experiment, its range of sizes, and the tables that it produces.
use crate::Fit;

/// A scale test that varies one parameter, the size.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// One sentence for `scalelab list`: what is varied and what is fixed.
    pub about: &'static str,
    /// Sizes to run at unless others are given.
    pub sizes: &'static [u64],
    /// Largest size that may be given: up to it, half of a machine has enough memory and time for the experiment.
    pub bound: u64,
    /// Runs the experiment at these sizes with this seed, and returns its tables.
    pub run: fn(&[u64], u64) -> Result<Vec<Sweep>, ExperimentError>,
}

/// Why an experiment did not run to its end.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ExperimentError {
    /// A size is 0 or above the experiment's bound.
    #[error("size {asked} is out of range: this experiment runs at sizes from 1 to {bound}")]
    SizeOutOfBounds {
        /// The size that was given.
        asked: u64,
        /// [`Experiment::bound`].
        bound: u64,
    },
    /// Fewer different sizes were given than a fit needs.
    #[error("{given} different sizes given, at least {least} are needed to fit a slope")]
    TooFewSizes {
        /// Number of different sizes that were given.
        given: usize,
        /// [`MIN_SIZES`].
        least: usize,
    },
    /// There is no experiment of this name.
    #[error("no experiment is named {0}; `scalelab list` lists them")]
    UnknownExperiment(String),
    /// The experiment failed, for example on a process, socket or file.
    #[error("{0}")]
    Failed(String),
}

/// Minimum number of different sizes from which a slope is fitted.
pub const MIN_SIZES: usize = 4;

impl Experiment {
    /// The sizes to run at, sorted and without duplicates: `requested`, or the experiment's defaults if that is empty.
    ///
    /// # Errors
    /// A size is 0 or above the bound, or there are fewer than [`MIN_SIZES`] different ones.
    pub fn sizes(&self, requested: &[u64]) -> Result<Vec<u64>, ExperimentError> {
        let mut sizes = if requested.is_empty() {
            self.sizes.to_vec()
        } else {
            requested.to_vec()
        };
        sizes.sort_unstable();
        sizes.dedup();
        if let Some(&asked) = sizes.iter().find(|&&size| size == 0 || size > self.bound) {
            return Err(ExperimentError::SizeOutOfBounds {
                asked,
                bound: self.bound,
            });
        }
        if sizes.len() < MIN_SIZES {
            return Err(ExperimentError::TooFewSizes {
                given: sizes.len(),
                least: MIN_SIZES,
            });
        }
        Ok(sizes)
    }
}

/// A value measured at each size.
#[derive(Clone, Debug)]
pub struct Column {
    /// Heading, with the unit, as in `bytes/s each`.
    pub name: &'static str,
    /// Whether the values are the same in every run, as counts and bytes are, so that CI can check them.
    pub exact: bool,
}

/// The table of an experiment that varied one parameter.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// Title, with the parameters that were fixed.
    pub title: String,
    /// The varied parameter; the first column's heading.
    pub varied: &'static str,
    /// The measured columns.
    pub columns: Vec<Column>,
    /// Each size with its values, in the order of the columns.
    pub rows: Vec<(u64, Vec<f64>)>,
}

impl Sweep {
    /// The points (size, value) of a column.
    pub fn points(&self, column: usize) -> Vec<(f64, f64)> {
        self.rows
            .iter()
            .map(|(size, values)| (*size as f64, values[column]))
            .collect()
    }

    /// The linear fit of a column; `None` as for [`Fit::of`].
    pub fn fit(&self, column: usize) -> Option<Fit> {
        Fit::of(&self.points(column))
    }

    /// The table in Markdown, followed by a table of the fits with one row per column.
    pub fn markdown(&self) -> String {
        let mut text = format!("### {}\n\n| {} |", self.title, self.varied);
        for column in &self.columns {
            text += &format!(" {} |", column.name);
        }
        text += "\n| --- |";
        text += &" --- |".repeat(self.columns.len());
        for (size, values) in &self.rows {
            text += &format!("\n| {size} |");
            for value in values {
                text += &format!(" {} |", format_value(*value));
            }
        }
        text += "\n\n| fit | slope | ± | at 0 | r2 | largest residual | exponent |\n| --- | --- | --- | --- | --- | --- | --- |\n";
        for (position, column) in self.columns.iter().enumerate() {
            if let Some(fit) = self.fit(position) {
                text += &fit_row(column, &fit);
            }
        }
        text
    }
}

/// The row of one column in the table of fits.
fn fit_row(column: &Column, fit: &Fit) -> String {
    let exact_suffix = if column.exact { " (exact)" } else { "" };
    let exponent = fit
        .exponent
        .map_or("-".to_owned(), |exponent| format!("{exponent:.2}"));
    format!(
        "| {}{exact_suffix} | {} | {} | {} | {:.3} | {:.1}% | {exponent} |\n",
        column.name,
        format_value(fit.slope),
        format_value(fit.slope_error),
        format_value(fit.intercept),
        fit.r2,
        fit.residual * 100.0,
    )
}

/// Formats a value with three to four significant digits; values from 1000 up are rounded to integers.
pub fn format_value(value: f64) -> String {
    match value.abs() {
        magnitude if magnitude == 0.0 || magnitude >= 1000.0 => format!("{value:.0}"),
        magnitude if magnitude >= 100.0 => format!("{value:.1}"),
        magnitude if magnitude >= 1.0 => format!("{value:.2}"),
        magnitude if magnitude >= 0.01 => format!("{value:.4}"),
        _ => format!("{value:.2e}"),
    }
}
