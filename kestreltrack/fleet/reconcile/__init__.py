"""Partner lists that staff of several regions edit at any time, also cut off, and that become one list again."""
