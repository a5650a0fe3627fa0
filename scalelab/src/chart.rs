//! Draws a sweep: each column as a part of its largest value, so that shapes compare.
use crate::Sweep;
use plotters::prelude::*;
use std::path::Path;

/// Writes an SVG of all columns of the sweep.
///
/// # Errors
/// The file cannot be written, or there is nothing to draw.
pub fn draw(sweep: &Sweep, path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    let most = sweep.rows.iter().map(|r| r.0).max().ok_or("no rows")? as f64;
    let root = SVGBackend::new(path, (900, 480)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(&sweep.title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..most * 1.02, 0.0..1.05f64)?;
    chart
        .configure_mesh()
        .x_desc(sweep.varied)
        .y_desc("part of the column's largest")
        .draw()?;
    for (position, column) in sweep.columns.iter().enumerate() {
        let points = sweep.points(position);
        let top = points.iter().map(|p| p.1.abs()).fold(0.0, f64::max);
        if top == 0.0 || !top.is_finite() {
            continue;
        }
        let colour = Palette99::pick(position).stroke_width(2);
        let label = format!(
            "{} (largest {})",
            column.name,
            crate::experiment::figure(top)
        );
        chart
            .draw_series(LineSeries::new(
                points.into_iter().map(|(x, y)| (x, y / top)),
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
