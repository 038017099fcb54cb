//! Parameterised templates that operators publish, and their checks.
