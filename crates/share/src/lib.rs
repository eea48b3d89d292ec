//! Capacity shares: which entry may use which upstream slot and how much of a link's cap.
