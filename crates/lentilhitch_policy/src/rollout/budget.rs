//! Distribution of the permitted number of requests to the nodes.
