"""What makes faults of real processes, and what is known of them: clocks, disks, the history, its checks."""
