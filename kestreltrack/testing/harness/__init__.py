"""The rig: several senders, with faults on the links between them and on the processes themselves."""
