"""What never runs in a sender: the emulator, stand-ins, the demonstration and the rig."""
