//! Stand-ins for the systems around almondcroft, the demo and the experiment tool.
