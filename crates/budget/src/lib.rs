//! Measuring budget: grants debited before they are spent, and the bill.
