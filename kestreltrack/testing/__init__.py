"""Code that never runs in a sender: the emulator, fakes, the demo, the soak test and the test harness."""
