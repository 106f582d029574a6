//! Membership and the spread of versioned items.
