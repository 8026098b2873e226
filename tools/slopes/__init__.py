"""Parts of measure_slopes: what is measured, and the fit."""
