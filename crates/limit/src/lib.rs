//! Retry allowances and admission limits per partner and class.
