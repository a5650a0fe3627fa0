//! Draws the columns of a table in one chart, each relative to its largest absolute value, so that the curves' shapes
//! can be compared.
use crate::Sweep;
use plotters::prelude::*;
use std::path::Path;

/// Writes a chart of all columns of the table to an SVG file. Columns that are all 0, or have an infinite value, are
/// left out.
///
/// # Errors
/// The file cannot be written, or the table has no rows.
pub fn draw(sweep: &Sweep, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let largest_size = sweep
        .rows
        .iter()
        .map(|row| row.0)
        .max()
        .ok_or("the table has no rows")? as f64;
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(&sweep.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..largest_size * 1.02, 0.0..1.05f64)?;
    chart
        .configure_mesh()
        .x_desc(sweep.varied)
        .y_desc("fraction of the column's largest")
        .draw()?;
    for (position, column) in sweep.columns.iter().enumerate() {
        let points = sweep.points(position);
        let largest = points.iter().map(|point| point.1.abs()).fold(0.0, f64::max);
        if largest == 0.0 || !largest.is_finite() {
            continue;
        }
        let colour = Palette99::pick(position).stroke_width(2);
        let label = format!(
            "{} (largest {})",
            column.name,
            crate::experiment::format_value(largest)
        );
        chart
            .draw_series(LineSeries::new(
                points.into_iter().map(|(x, y)| (x, y / largest)),
                colour,
            ))?
            .label(label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    root.present()?;
    Ok(())
}
